/// Declares a checked enum, its raw counterpart and the texts of its values, which are the same on the command line
/// and in JSON.
macro_rules! wire_enum {
    ($(#[$doc:meta])* $name:ident, $raw:path { $($(#[$variant_doc:meta])* $variant:ident = $text:literal,)+ }) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Serialize)]
        pub enum $name {
            $($(#[$variant_doc])* #[serde(rename = $text)] $variant,)+
        }

        impl $name {
            /// Every value, in the order of declaration.
            pub const ALL: &'static [Self] = &[$(Self::$variant,)+];

            /// Returns the text of the value.
            pub fn as_str(self) -> &'static str {
                match self {
                    $(Self::$variant => $text,)+
                }
            }

            /// Returns the value with this text, if there is one.
            pub fn parse(text: &str) -> Option<Self> {
                Self::ALL.iter().copied().find(|value| value.as_str() == text)
            }

            /// Returns the texts of all values, separated by commas.
            pub fn allowed() -> String {
                let texts: Vec<&str> = Self::ALL.iter().map(|value| value.as_str()).collect();
                texts.join(", ")
            }

            pub(crate) fn from_wire(number: i32) -> Option<Self> {
                Self::ALL.iter().copied().find(|value| value.to_wire() == number)
            }

            pub(crate) fn to_wire(self) -> i32 {
                match self {
                    $(Self::$variant => <$raw>::$variant as i32,)+
                }
            }
        }

        impl std::fmt::Display for $name {
            fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                formatter.pad(self.as_str())
            }
        }
    };
}

pub(crate) use wire_enum;

wire_enum!(
    /// Failure domain whose loss the availability budget of a pool survives.
    Survive, crate::generated::v1::SurviveRule {
        /// Only the number of available hosts counts.
        Nothing = "none",
        /// The budget still holds after the loss of any one rack.
        Rack = "rack",
        /// The budget still holds after the loss of any one data centre.
        DataCentre = "data_centre",
    }
);

wire_enum!(
    /// How soon the result of a job is needed.
    Urgency, crate::generated::v1::Urgency {
        /// Someone is waiting for the result.
        Urgent = "urgent",
        /// Neither urgent nor overnight.
        Normal = "normal",
        /// The result may wait until the next day.
        Overnight = "overnight",
    }
);

impl From<goldcreststall_core::config::SurviveRule> for Survive {
    fn from(rule: goldcreststall_core::config::SurviveRule) -> Self {
        use goldcreststall_core::config::SurviveRule;
        match rule {
            SurviveRule::Nothing => Self::Nothing,
            SurviveRule::Rack => Self::Rack,
            SurviveRule::DataCentre => Self::DataCentre,
        }
    }
}

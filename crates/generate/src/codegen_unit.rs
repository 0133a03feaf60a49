use {
    anyhow::Context,
    std::{
        fmt, fs,
        path::{Path, PathBuf},
    },
};

/// A schema file and the folder of its generated code. The paths are relative to the root of the workspace.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CodegenUnit {
    /// Folder of the generated code. Besides generated files it contains only `mod.rs`, which is written by hand.
    pub code_folder: &'static str,
    /// Schema file in the Protocol Buffers language.
    pub schema: &'static str,
}

/// A committed file that differs from the generated one, is missing, or is no longer generated.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StaleFile {
    /// Path of the file, including the root of the workspace.
    pub path: PathBuf,
}

impl fmt::Display for StaleFile {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{}: differs from its schema; run scripts/generate",
            self.path.display()
        )
    }
}

impl CodegenUnit {
    /// Writes the generated code below `root`. Files that are no longer generated stay.
    ///
    /// # Errors
    /// When the schema is not valid or a file cannot be read or written.
    pub fn write(&self, root: &Path) -> anyhow::Result<()> {
        let folder = root.join(self.code_folder);
        fs::create_dir_all(&folder)?;
        for file in self.generate(root)? {
            let path = folder.join(file.name);
            fs::write(&path, file.text).with_context(|| format!("cannot write {path:?}"))?;
        }
        Ok(())
    }

    /// Returns the files below `root` that differ from the generated code, including missing files and files that are
    /// no longer generated.
    ///
    /// # Errors
    /// When the schema is not valid or a file cannot be read.
    pub fn check(&self, root: &Path) -> anyhow::Result<Vec<StaleFile>> {
        let folder = root.join(self.code_folder);
        let files = self.generate(root)?;
        let mut stale = Vec::new();
        for file in &files {
            let path = folder.join(&file.name);
            if fs::read_to_string(&path).ok().as_deref() != Some(&file.text) {
                stale.push(StaleFile { path });
            }
        }
        if folder.exists() {
            stale.extend(stale_files(&folder, &files)?);
        }
        Ok(stale)
    }

    fn generate(&self, root: &Path) -> anyhow::Result<Vec<GeneratedFile>> {
        let schema = root.join(self.schema);
        let include = schema
            .parent()
            .context("the schema path has no parent folder")?;
        let descriptors = protox::compile([&schema], [include])?;
        let folder = tempfile::tempdir()?;
        tonic_prost_build::configure()
            .out_dir(folder.path())
            .emit_rerun_if_changed(false)
            .compile_fds(descriptors)?;
        read_files(folder.path())
    }
}

#[derive(Debug)]
struct GeneratedFile {
    name: String,
    text: String,
}

fn read_files(folder: &Path) -> anyhow::Result<Vec<GeneratedFile>> {
    let mut files = Vec::new();
    for entry in fs::read_dir(folder)? {
        let entry = entry?;
        let name = entry.file_name().to_string_lossy().into_owned();
        let text = fs::read_to_string(entry.path())?;
        files.push(GeneratedFile { name, text });
    }
    files.sort_by(|left, right| left.name.cmp(&right.name));
    Ok(files)
}

/// Returns the files in `folder` that are no longer generated.
fn stale_files(folder: &Path, files: &[GeneratedFile]) -> anyhow::Result<Vec<StaleFile>> {
    let mut stale = Vec::new();
    for entry in fs::read_dir(folder)? {
        let entry = entry?;
        let name = entry.file_name().to_string_lossy().into_owned();
        if name != "mod.rs" && !files.iter().any(|file| file.name == name) {
            stale.push(StaleFile { path: entry.path() });
        }
    }
    Ok(stale)
}

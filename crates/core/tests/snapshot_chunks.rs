//! Guards against snapshots that are assembled from chunks of different states or from too few chunks.

use {
    goldcreststall_core::ledger::{
        FormatError, LogOffset, MAX_CHUNK_BYTES, Snapshot, SnapshotChunk, SnapshotId, decode_chunk,
        encode_chunk, split_snapshot,
    },
    proptest::{prelude::*, test_runner::RngSeed},
};

const CASES: u32 = 128;
const SEED: u64 = 47;

fn state(number: u64, bytes: usize) -> Vec<u8> {
    (0..bytes)
        .map(|index| (index as u64 * 31 + number) as u8)
        .collect()
}

fn chunks(number: u64, bytes: usize) -> Vec<SnapshotChunk> {
    let id = SnapshotId(u128::from(number));
    split_snapshot(id, LogOffset(number * 100), &state(number, bytes))
}

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: CASES,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(SEED),
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    /// Three writers interleave their chunks; some chunks are lost and some are duplicated. The result is the snapshot
    /// that is completed first when the chunks are read from the newest to the oldest, or none.
    #[test]
    fn interleaved_chunks(
        sizes in prop::collection::vec(0..3 * MAX_CHUNK_BYTES, 3),
        order in prop::collection::vec((0..3_usize, 0..8_u8), 1..40),
    ) {
        let mut writers: Vec<_> = (1..).zip(&sizes).map(|(number, size)| chunks(number, *size).into_iter()).collect();
        let mut stream = Vec::new();
        for (writer, choice) in order {
            if let Some(chunk) = writers[writer].next() {
                let copies = match choice { 0 => 0, 1 => 2, _ => 1 };
                stream.extend(std::iter::repeat_n(chunk, copies));
            }
        }
        // Position at which a reader that goes backwards has read every chunk of a snapshot; the largest one wins.
        let completed_at = |number: u64| {
            let belongs = |chunk: &&SnapshotChunk| chunk.id == SnapshotId(u128::from(number));
            let count = stream.iter().find(belongs)?.count;
            let last = |index| stream.iter().rposition(|chunk| belongs(&chunk) && chunk.index == index);
            (0..count).map(last).collect::<Option<Vec<usize>>>()?.into_iter().min()
        };
        let latest = (1..=3).filter_map(|number| Some((completed_at(number)?, number))).max();
        let expected = latest.map(|(_, number)| Snapshot {
            id: SnapshotId(u128::from(number)),
            next: LogOffset(number * 100),
            state: state(number, sizes[number as usize - 1]),
        });
        prop_assert_eq!(Snapshot::latest(stream.iter().rev().cloned()), expected);
    }
}

/// The log accepts at most 256 KiB per entry, so the bound applies to the encoded chunk, not to its part of the state.
#[test]
fn chunk_size() {
    for bytes in [
        0,
        1,
        MAX_CHUNK_BYTES - 1,
        MAX_CHUNK_BYTES,
        3 * MAX_CHUNK_BYTES,
    ] {
        let id = SnapshotId(u128::MAX);
        for mut chunk in split_snapshot(id, LogOffset(u64::MAX), &state(1, bytes)) {
            chunk.hash = u64::MAX;
            let encoded = encode_chunk(&chunk);
            assert!(encoded.len() <= MAX_CHUNK_BYTES, "{}", encoded.len());
            assert_eq!(decode_chunk(&encoded), Ok(chunk));
        }
    }
    assert_eq!(chunks(1, 0).len(), 1);
    assert_eq!(decode_chunk(&[9]), Err(FormatError::UnknownVersion(9)));
}

/// A writer that starts again under its old id with another state mixes two states under one id.
#[test]
fn mixed_states() {
    let (mut stream, other) = (
        chunks(1, 2 * MAX_CHUNK_BYTES),
        chunks(2, 2 * MAX_CHUNK_BYTES),
    );
    stream[1] = SnapshotChunk {
        id: stream[0].id,
        next: stream[0].next,
        ..other[1].clone()
    };
    assert_eq!(Snapshot::latest(stream.into_iter().rev()), None);
}

/// A damaged chunk makes only its own snapshot unusable; the reader continues with the one before.
#[test]
fn damaged_chunk() {
    let (mut stream, mut newer) = (chunks(1, 10), chunks(2, 10));
    newer[0].bytes[3] ^= 1;
    stream.extend(newer);
    let found = Snapshot::latest(stream.into_iter().rev());
    assert_eq!(found.map(|snapshot| snapshot.state), Some(state(1, 10)));
}

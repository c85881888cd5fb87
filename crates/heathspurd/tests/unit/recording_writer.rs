//! Unit tests of `src/recording/writer.rs`, which includes this file as its test module.

use super::*;
use heathspur_config::Operator;

/// An error while writing must neither end the recorder's thread nor cause a retry for every batch of blocks.
#[test]
fn full_disk_stops_recording_until_retry_in_new_file() {
    let directory = std::env::temp_dir().join(format!("heathspurd-full-{}", std::process::id()));
    std::fs::create_dir_all(&directory).unwrap();
    let text = format!(
        "<operator xmlns=\"urn:heathspur:operator:1\"><record directory=\"{}\"/></operator>",
        directory.display()
    );
    let settings = Operator::parse(&text, Path::new("o.xml"), None)
        .unwrap()
        .record
        .unwrap();
    let mut writer = Writer::new("n 1", &settings);
    // The open file is on a device that is always full.
    writer.rotation.file_created(0, "n_1-full", 0);
    writer.path = PathBuf::from("/dev/full");
    writer.file = Some(OpenOptions::new().write(true).open(&writer.path).unwrap());
    writer.pending_blocks = vec![0; 4096];
    writer.write_pending();
    assert!(writer.file.is_none() && file_names(&directory).is_empty());
    writer.pending_blocks = vec![0; 64];
    writer.write_pending();
    assert!(
        file_names(&directory).is_empty(),
        "a new file was created before the retry delay had passed"
    );
    // Moves the start into the past, so that the retry delay has passed.
    writer.start = Instant::now().checked_sub(Duration::from_secs(2)).unwrap();
    writer.pending_blocks = vec![0; 64];
    writer.write_pending();
    let written = file_names(&directory);
    let [name] = &written[..] else {
        panic!("{written:?}")
    };
    assert!(name.starts_with("n_1-"), "{name}");
    let header_bytes = writer.recorder.file_header().len() as u64;
    assert_eq!(
        std::fs::metadata(directory.join(name)).unwrap().len(),
        header_bytes + 64
    );
    std::fs::remove_dir_all(directory).unwrap();
}

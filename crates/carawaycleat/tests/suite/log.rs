use std::io;
use std::sync;

use carawaycleat::log;
use carawaycleat::settings;

/// Keeps what is written.
#[derive(Clone, Default)]
struct Buffer(sync::Arc<sync::Mutex<Vec<u8>>>);

impl io::Write for Buffer {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().expect("no panic").write(bytes)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn written(format: settings::Format, level: settings::Level) -> String {
    let buffer = Buffer::default();
    let logger =
        log::logger(&settings::Log { format, level }, "program", buffer.clone()).expect("a logger");
    spdlog::info!(logger: logger, "a \"quoted\" line");
    spdlog::warn!(logger: logger, "a warning");
    let bytes = buffer.0.lock().expect("no panic").clone();
    String::from_utf8(bytes).expect("UTF-8")
}

/// Guards against lines that tools cannot parse, and against lines held back in a buffer.
#[test]
fn json_lines_are_objects() {
    let text = written(settings::Format::Json, settings::Level::Info);
    let lines: Vec<serde_json::Value> = text
        .lines()
        .map(|l| serde_json::from_str(l).expect("JSON"))
        .collect();
    assert_eq!(lines.len(), 2);
    assert_eq!(lines[0]["payload"], "a \"quoted\" line");
    assert_eq!(lines[0]["logger"], "program");
}

/// Guards against a level that is ignored.
#[test]
fn lines_below_the_level_are_left_out() {
    let text = written(settings::Format::Text, settings::Level::Warn);
    assert_eq!(text.lines().count(), 1);
    assert!(text.contains("[program] [warn] a warning"), "{text}");
}

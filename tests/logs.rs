//! Tests of the log: lines, budget and buffer.

use {
    dogwoodreach::{
        Time,
        logs::{LineBudget, LineBuffer, MAX_WRITE_BYTES, format_time, line},
    },
    log::{Level, Record},
    std::{
        io::{Error, Result, Write},
        time::{Duration, SystemTime, UNIX_EPOCH},
    },
};

fn at(ms: u64) -> SystemTime {
    UNIX_EPOCH + Duration::from_millis(ms)
}

#[test]
fn budget_leaves_out_and_counts() {
    let mut budget = LineBudget::new(2);
    let ms = Time::from_millis;
    assert_eq!(budget.take_line(ms(100)), Some(0));
    assert_eq!(budget.take_line(ms(200)), Some(0));
    assert_eq!([budget.take_line(ms(300)), budget.take_line(ms(1_099))], [None, None]);
    assert_eq!(budget.left_out(), 2);
    // The next second has begun: the count of omitted lines is reported once.
    assert_eq!(budget.take_line(ms(1_100)), Some(2));
    assert_eq!(budget.take_line(ms(1_100)), Some(0));
    assert_eq!(budget.take_line(ms(1_200)), None);
    // A clock that stands still or goes back grants no lines.
    assert_eq!(budget.take_line(ms(900)), None);
    assert_eq!(budget.take_line(ms(60_000)), Some(2));
}

#[test]
fn full_ring_drops_and_counts() {
    let ring = LineBuffer::new(20);
    ring.put(b"0123456789\n");
    ring.put(b"0123456789\n");
    ring.put(b"01234567\n");
    ring.put(b"x\n");
    let text = String::from_utf8(ring.drain()).unwrap();
    let lines: Vec<&str> = text.lines().collect();
    assert_eq!(lines[..2], ["0123456789", "01234567"]);
    assert!(lines[2].ends_with("dropped=2"), "{text}");
    ring.put(b"again\n");
    assert_eq!(ring.drain(), b"again\n");
}

/// Keeps what each write has written, and fails once it has received as many bytes as expected.
struct Writes {
    writes: Vec<Vec<u8>>,
    expected: usize,
}

impl Write for &mut Writes {
    fn write(&mut self, bytes: &[u8]) -> Result<usize> {
        self.writes.push(bytes.to_vec());
        Ok(bytes.len())
    }

    fn flush(&mut self) -> Result<()> {
        let received = self.writes.iter().map(Vec::len).sum::<usize>();
        if received < self.expected { Ok(()) } else { Err(Error::other("complete")) }
    }
}

#[test]
fn a_reader_of_a_pipe_gets_whole_lines() {
    // A write of more bytes than a pipe takes at once may be read in part, or be mixed with what
    // another thread writes. The lines after the cut were missing in the collected logs.
    let ring = LineBuffer::new(64 * 1024);
    let mut text = String::new();
    for no in 0..100 {
        let line = format!("{no} {}\n", "x".repeat(no * 7));
        ring.put(line.as_bytes());
        text.push_str(&line);
    }
    let long = format!("{}\n", "y".repeat(MAX_WRITE_BYTES));
    ring.put(long.as_bytes());
    text.push_str(&long);
    let mut out = Writes { writes: vec![], expected: text.len() };
    ring.write(&mut out);
    assert_eq!(out.writes.concat(), text.as_bytes());
    for write in &out.writes {
        assert!(write.ends_with(b"\n"));
        let lines = write.iter().filter(|b| **b == b'\n').count();
        assert!(write.len() <= MAX_WRITE_BYTES || lines == 1, "{} bytes", write.len());
    }
}

#[test]
fn lines_have_time_and_key_values() {
    let pairs = [("job", "00ff"), ("cause", "a \"b\" c"), ("none", "")];
    let source: &[(&str, &str)] = &pairs;
    let args = format_args!("Job is\ntaken in.");
    let record =
        Record::builder().level(Level::Info).target("entry").args(args).key_values(&source).build();
    let want = "2000-02-29T00:00:00.007Z INFO entry: Job is taken in. job=00ff \
                cause=\"a \\\"b\\\" c\" none=\"\" left_out=3\n";
    assert_eq!(line(&record, 3, at(951_782_400_007)), want);
}

#[test]
fn times_are_dates() {
    let cases = [
        (0, "1970-01-01T00:00:00.000Z"),
        (951_868_799_999, "2000-02-29T23:59:59.999Z"),
        (951_868_800_000, "2000-03-01T00:00:00.000Z"),
        (1_796_255_419_123, "2026-12-02T23:50:19.123Z"),
        (4_107_542_400_000, "2100-03-01T00:00:00.000Z"),
    ];
    for (ms, want) in cases {
        assert_eq!(format_time(at(ms)), want);
    }
}

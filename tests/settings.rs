//! The settings: parsing, and the message of each fault.

use {
    dogwoodreach::{Kind, settings},
    std::fmt::Write,
};

const GOOD: &str = include_str!("../examples/member.ini");

fn refusal(text: &str) -> String {
    let error = settings::read(text).expect_err("a fault");
    assert_eq!(error.kind(), Kind::BadSettings);
    error.detail().to_owned()
}

#[test]
fn reads_the_example_with_units_as_milliseconds() {
    let read = settings::read(GOOD).unwrap();
    assert_eq!(read.member.zone.as_str(), "upper-hill");
    assert_eq!(read.member.control, "10.20.1.11:8082".parse().unwrap());
    assert_eq!((read.limits.header, read.limits.deadline), (5_000, 10_000));
    assert_eq!(settings::read(&GOOD.replace('\n', "\r\n")).unwrap(), read);
}

#[test]
fn sections_with_defaults_may_be_left_out() {
    let (short, _) = GOOD.split_once("[limits]").unwrap();
    assert_eq!(settings::read(short).unwrap(), settings::read(GOOD).unwrap());
}

#[test]
fn each_fault_is_told_with_line_cause_and_remedy() {
    let cases = [
        ("[log]", "[logs]", "line 24: no section is called \"logs\"; did you mean \"log\"?"),
        ("level", "levl", "line 25: [log] has no key \"levl\"; did you mean \"level\"?"),
        ("[log]", "[log]\nlevel = warn", "line 26: \"level\" stands here and in line 25; keep one"),
        ("[log]", "[limits]", "line 24: [limits] stands here and in line 18; join the two"),
        (
            "= info",
            "= loud",
            "line 25: \"level\" cannot be \"loud\"; off, error, warn, info, debug",
        ),
        (
            "5s",
            "5",
            "line 21: \"header\" cannot be \"5\"; a whole number above 0 with ms, s, m or h",
        ),
        ("5s", "0s", "line 21: \"header\" cannot be \"0s\""),
        ("4096", "4096s", "line 20: \"connections\" cannot be \"4096s\"; a whole number above 0"),
        ("4096", "0", "line 20: \"connections\" cannot be \"0\"; a whole number above 0"),
        ("10.20.0.5:7001", "kv.local", "line 15: \"kv\" cannot be \"kv.local\"; an IP number"),
        (
            "10.20.1.11:8080",
            "0.0.0.0:8080",
            "line 6: \"callers\" cannot be \"0.0.0.0:8080\"; the IP",
        ),
        ("10.20.0.5:7001", "10.20.0.5:0", "line 15: \"kv\" cannot be 10.20.0.5:0; the port"),
        (
            ":8084",
            ":8083",
            "line 10: \"metrics\" and \"bodies\" of line 9 are both 10.20.1.11:8083",
        ),
        ("replace-me-with-32-random-characters", "only-15-letters", "line 12: the secret has 15"),
        ("upper-hill\n", "\n", "line 5: \"zone\" cannot be \"\"; a name of 1 to 63 bytes"),
        ("zone ", "; ", "line 4: [member] lacks \"zone\"; add it: Its availability zone."),
        ("[platform]", "; ", "line 1: the section [platform] is missing; add it: The platform's"),
        ("[member]", "", "line 5: \"zone\" stands before any section"),
        ("info", "in\x07fo", "line 25: the character U+0007 stands in the line; remove it"),
    ];
    for (from, to, want) in cases {
        let message = refusal(&GOOD.replacen(from, to, 1));
        assert!(
            message.lines().any(|l| l.starts_with(want)),
            "{from:?} to {to:?}:\n{message}\nnot {want}"
        );
    }
}

#[test]
fn all_faults_are_told_at_once() {
    let message =
        refusal(&GOOD.replace("5s", "5").replace(":8084", ":80840").replace("info", "loud"));
    let lines: Vec<_> = message.lines().map(|l| l.split(':').next().unwrap()).collect();
    assert_eq!(lines, ["line 10", "line 21", "line 25"], "{message}");
}

#[test]
fn no_bytes_make_it_panic() {
    arbtest::arbtest(|u| {
        let mut text = String::from(GOOD);
        for _ in 0..u.int_in_range(0..=3)? {
            let at = u.choose_index(text.len())?;
            if text.is_char_boundary(at) {
                let _ = write!(text, "\n{}", u.arbitrary::<&str>()?);
                text.insert_str(at, u.arbitrary::<&str>()?);
            }
        }
        let _ = settings::read(&text);
        let _ = settings::read_bytes(u.arbitrary::<&[u8]>()?);
        Ok(())
    })
    .seed(0x5e77_1265_0000_0040);
}

#[test]
fn takes_any_free_port_for_what_it_listens_on() {
    let any = GOOD.replace("10.20.1.11:8083", "10.20.1.11:0").replace(":8084", ":0");
    let settings = settings::read(&any).expect("two free ports are not the same port");
    assert_eq!(settings.member.bodies.port(), 0);
}

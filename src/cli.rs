//! The command line: its commands, its exit codes, and the one command that needs no member.

use {
    crate::{
        Kind,
        ids::Version,
        text::{Fault, MAX_TEXT_BYTES, Plan},
        trace,
    },
    lexopt::{Arg, Parser, ValueExt},
    serde::Serialize,
    std::{
        ffi::OsString,
        fmt,
        fs::File,
        io::{self, Read, Write},
        net::SocketAddr,
        path::{Path, PathBuf},
        process::ExitCode,
    },
};

/// What `--help` shows.
pub const HELP: &str = "\
dogwoodreach, a cluster scheduler for unlike workloads

  dogwoodreach serve --settings FILE
      run a member
  dogwoodreach check TEXT
      check a text offline; nothing is sent
  dogwoodreach submit TEXT --to ADDR --secret-file FILE [--base VERSION] [--by NAME]
      put a text in force; --base is the version that it was edited from
  dogwoodreach show --to ADDR --secret-file FILE
      show what is in force, and what runs and waits
  dogwoodreach drain --to ADDR --secret-file FILE
      stop a member once its requests have ended
  dogwoodreach trace ID FILES...
      put the lines of a job or task in order, from the logs of many members, and
      say where its time went
  dogwoodreach --help | --version

ADDR is a member's address for operators, like 10.20.1.11:8081. The secret file
holds the secret of the settings. All commands but serve take --json, which
writes one JSON object, errors too.

Exit codes:
  0  done
  1  refused; nothing was changed
  2  the command line is wrong, or a file cannot be read
  3  the text or the settings have errors
  4  conflict: another text was first
  5  the outcome is unknown; run show before trying again
  6  the member cannot be reached; nothing was changed
";

/// A command line, read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Runs a member.
    Serve {
        /// The settings file.
        settings: PathBuf,
    },
    /// Checks a text offline.
    Check {
        /// The text's file.
        text: PathBuf,
        /// Whether to answer in JSON.
        json: bool,
    },
    /// Submits a text.
    Submit {
        /// The text's file.
        text: PathBuf,
        /// The version that it was edited from, if the operator names one.
        base: Option<Version>,
        /// Who submits it.
        by: Option<Box<str>>,
        /// The member to ask.
        target: Target,
    },
    /// Shows what is in force, and what runs and waits.
    Show(Target),
    /// Stops a member once its requests have ended.
    Drain(Target),
    /// Puts the lines of one id in order.
    Trace {
        /// A job's number, or the name of a step or task of it.
        id: trace::Id,
        /// The logs.
        files: Vec<PathBuf>,
        /// Whether to answer in JSON.
        json: bool,
    },
    /// Shows the help.
    Help,
    /// Shows the version.
    Version,
}

/// The member that a command asks, and how.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// The member's address for operators.
    pub to: SocketAddr,
    /// The file that holds the secret.
    pub secret: PathBuf,
    /// Whether to answer in JSON.
    pub json: bool,
}

/// What is wrong with a command line.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display)]
#[display("{cause}")]
pub struct Usage {
    /// What is wrong, and what would be right.
    pub cause: Box<str>,
    /// Whether to answer in JSON.
    pub json: bool,
}

/// The exit codes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Exit {
    /// Done.
    Done = 0,
    /// Refused; nothing was changed.
    Refused = 1,
    /// The command line is wrong, or a file cannot be read.
    Usage = 2,
    /// The text or the settings have errors.
    Faulty = 3,
    /// Another text was first.
    Conflict = 4,
    /// The outcome is unknown.
    Unknown = 5,
    /// The member cannot be reached; nothing was changed.
    Unreachable = 6,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        ExitCode::from(exit as u8)
    }
}

impl From<Kind> for Exit {
    fn from(kind: Kind) -> Self {
        match kind {
            Kind::BadText | Kind::BadSettings => Exit::Faulty,
            Kind::Conflict => Exit::Conflict,
            Kind::OutcomeUnknown | Kind::Timeout | Kind::Broken => Exit::Unknown,
            _ => Exit::Refused,
        }
    }
}

/// The options of a command line, before it is known what its command needs.
#[derive(Default)]
struct Options {
    words: Vec<OsString>,
    settings: Option<OsString>,
    to: Option<OsString>,
    secret: Option<OsString>,
    base: Option<OsString>,
    by: Option<OsString>,
    json: bool,
    help: bool,
    version: bool,
}

/// Reads a command line without the program's name.
///
/// # Errors
///
/// What is wrong with it; `json` says whether the user asked for JSON before it went wrong.
pub fn parse(args: Vec<OsString>) -> Result<Command, Usage> {
    // An error is told in JSON even where `--json` comes after the word that is wrong.
    let json = args.iter().any(|a| a == "--json");
    command(args).map_err(|e| Usage { cause: e.to_string().into(), json })
}

fn command(args: Vec<OsString>) -> Result<Command, lexopt::Error> {
    let mut options = options(args)?;
    if options.help {
        return Ok(Command::Help);
    }
    if options.version {
        return Ok(Command::Version);
    }
    let name = match options.words.is_empty() {
        true => return Err("no command; try --help".into()),
        false => options.words.remove(0).string()?,
    };
    let command = match &*name {
        "serve" => {
            let settings = need(options.settings.take(), "serve", "--settings FILE")?;
            Command::Serve { settings: settings.into() }
        }
        "check" => Command::Check { text: text(&mut options, "check")?, json: json(&mut options) },
        "submit" => Command::Submit {
            text: text(&mut options, "submit")?,
            base: options.base.take().map(base).transpose()?,
            by: options.by.take().map(|v| v.string().map(Box::from)).transpose()?,
            target: target(&mut options, "submit")?,
        },
        "show" => Command::Show(target(&mut options, "show")?),
        "drain" => Command::Drain(target(&mut options, "drain")?),
        "trace" => traced(&mut options)?,
        other => return Err(format!("no command is called {other:?}; try --help").into()),
    };
    match options.rest() {
        Some(word) => Err(format!("{name} takes no {word}; try --help").into()),
        None => Ok(command),
    }
}

fn options(args: Vec<OsString>) -> Result<Options, lexopt::Error> {
    let mut parser = Parser::from_args(args);
    let mut options = Options::default();
    while let Some(arg) = parser.next()? {
        let (slot, name) = match arg {
            Arg::Value(word) => {
                options.words.push(word);
                continue;
            }
            Arg::Long("json") => {
                options.json = true;
                continue;
            }
            Arg::Long("help") | Arg::Short('h') => {
                options.help = true;
                continue;
            }
            Arg::Long("version") | Arg::Short('V') => {
                options.version = true;
                continue;
            }
            Arg::Long("settings") => (&mut options.settings, "--settings"),
            Arg::Long("to") => (&mut options.to, "--to"),
            Arg::Long("secret-file") => (&mut options.secret, "--secret-file"),
            Arg::Long("base") => (&mut options.base, "--base"),
            Arg::Long("by") => (&mut options.by, "--by"),
            other => return Err(other.unexpected()),
        };
        if slot.replace(parser.value()?).is_some() {
            return Err(format!("{name} stands twice").into());
        }
    }
    Ok(options)
}

impl Options {
    /// The first word or option that no command took.
    fn rest(&self) -> Option<String> {
        let named = [
            (&self.settings, "--settings"),
            (&self.to, "--to"),
            (&self.secret, "--secret-file"),
            (&self.base, "--base"),
            (&self.by, "--by"),
        ];
        let named = named.into_iter().find(|(value, _)| value.is_some()).map(|(_, name)| name);
        let json = self.json.then_some("--json");
        let word = self.words.first().map(|w| format!("{:?}", w.to_string_lossy()));
        word.or(named.or(json).map(String::from))
    }
}

fn need(value: Option<OsString>, name: &str, what: &str) -> Result<OsString, lexopt::Error> {
    value.ok_or_else(|| format!("{name} needs {what}; try --help").into())
}

fn text(options: &mut Options, name: &str) -> Result<PathBuf, lexopt::Error> {
    let word = if options.words.is_empty() { None } else { Some(options.words.remove(0)) };
    need(word, name, "the file of a text").map(PathBuf::from)
}

fn traced(options: &mut Options) -> Result<Command, lexopt::Error> {
    let mut words = std::mem::take(&mut options.words).into_iter();
    let word = need(words.next(), "trace", "an ID and FILES")?.string()?;
    let remedy = "a job's 16 hexadecimal digits, or the name of a step or task";
    let id = trace::Id::read(&word).ok_or(format!("ID cannot be {word:?}; {remedy}"))?;
    let files: Vec<PathBuf> = words.map(PathBuf::from).collect();
    if files.is_empty() {
        return Err("trace needs FILES; try --help".into());
    }
    Ok(Command::Trace { id, files, json: json(options) })
}

fn base(word: OsString) -> Result<Version, lexopt::Error> {
    let remedy = "a version, as show gives it";
    word.parse().map_err(|_: lexopt::Error| format!("--base cannot be {word:?}; {remedy}").into())
}

fn address(word: OsString) -> Result<SocketAddr, lexopt::Error> {
    let remedy = "an IP number and a port, like 10.0.0.1:8081";
    word.parse().map_err(|_: lexopt::Error| format!("--to cannot be {word:?}; {remedy}").into())
}

fn json(options: &mut Options) -> bool {
    std::mem::take(&mut options.json)
}

fn target(options: &mut Options, name: &str) -> Result<Target, lexopt::Error> {
    Ok(Target {
        to: address(need(options.to.take(), name, "--to ADDR")?)?,
        secret: need(options.secret.take(), name, "--secret-file FILE")?.into(),
        json: json(options),
    })
}

/// What `check --json` writes.
#[derive(Serialize)]
struct Checked<'a> {
    ok: bool,
    errors: &'a [Fault],
}

/// An error other than a text's, as `--json` writes it.
#[derive(Serialize)]
struct Failed<'a> {
    ok: bool,
    cause: &'a str,
}

/// Checks the text in a file, tells the faults, and says how it went.
pub fn check(path: &Path, json: bool) -> Exit {
    let bytes = match read(path) {
        Ok(bytes) => bytes,
        Err(e) => return fail(Exit::Usage, &format!("cannot read {}: {e}", path.display()), json),
    };
    let (exit, faults) = match Plan::read_bytes(&bytes) {
        Ok(plan) if !json => {
            let (pools, teams) = (plan.pools.len(), plan.teams.len());
            let (services, jobs) = (plan.services.len(), plan.jobs.len());
            say(format_args!(
                "{}: good (pools {pools}, teams {teams}, services {services}, jobs {jobs})",
                path.display()
            ));
            return Exit::Done;
        }
        Ok(_) => (Exit::Done, Vec::new()),
        Err(faults) => (Exit::Faulty, faults),
    };
    if json {
        write_json(&Checked { ok: faults.is_empty(), errors: &faults });
    } else {
        tell(path, &faults);
    }
    exit
}

/// Tells an error, to people on the standard error and to programs on the standard output.
pub fn fail(exit: Exit, cause: &str, json: bool) -> Exit {
    if json {
        write_json(&Failed { ok: false, cause });
    } else {
        let _ = writeln!(io::stderr(), "dogwoodreach: {cause}");
    }
    exit
}

/// Reads a file up to one byte over the limit: enough to refuse what is longer.
pub(crate) fn read(path: &Path) -> io::Result<Vec<u8>> {
    let mut bytes = Vec::new();
    File::open(path)?.take(MAX_TEXT_BYTES as u64 + 1).read_to_end(&mut bytes)?;
    Ok(bytes)
}

fn tell(path: &Path, faults: &[Fault]) {
    let mut out = io::BufWriter::new(io::stderr().lock());
    for fault in faults {
        let _ = writeln!(out, "{}: {fault}", path.display());
    }
}

/// Writes a line; a reader that has gone is no error of the command.
pub fn say(line: fmt::Arguments<'_>) {
    let _ = writeln!(io::stdout(), "{line}");
}

/// Writes one JSON object and ends the line.
pub fn write_json(value: &impl Serialize) {
    let mut out = io::stdout().lock();
    let _ = serde_json::to_writer(&mut out, value);
    let _ = writeln!(out);
}

//! The command line: its commands, their options, the exit codes, and `check`, which needs no
//! member.

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
        collections::BTreeSet,
        ffi::OsString,
        fmt,
        fs::File,
        io::{self, Read, Write},
        net::SocketAddr,
        path::{Path, PathBuf},
        process::ExitCode,
    },
};

/// The text of `--help`.
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
  dogwoodreach show --shards ADDR[,ADDR...]
      show the shards of these members: their customers, pools and workers; here
      ADDR is a member's address for metrics, like 10.20.1.11:9464
  dogwoodreach drain --to ADDR --secret-file FILE
      stop a member once its requests have ended
  dogwoodreach trace ID FILES...
      put the lines of a job or task in order, from the logs of many members, and
      say where its time went
  dogwoodreach trace --away [FILES...]
      list when tasks of long-running steps were away, and why, the longest first;
      without FILES, the logs come from standard input
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

/// The maximum number of members that `show --shards` asks.
const MAX_ADDRESSES: usize = 200;

/// A parsed command line.
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
        /// Whether to write JSON.
        json: bool,
    },
    /// Submits a text.
    Submit {
        /// The text's file.
        text: PathBuf,
        /// The version that the text was edited from, if the operator gives one.
        base: Option<Version>,
        /// The name of the submitter.
        by: Option<Box<str>>,
        /// The member to call.
        target: Target,
    },
    /// Shows what is in force, and what runs and waits.
    Show(Target),
    /// Shows the shards of members.
    ShowShards {
        /// The members' addresses for metrics, each once.
        addrs: Vec<SocketAddr>,
        /// Whether to write JSON.
        json: bool,
    },
    /// Stops a member once its requests have ended.
    Drain(Target),
    /// Shows the log lines of one job, step or task in order of time.
    Trace {
        /// A job's number, or the name of a step or task of it.
        id: trace::Id,
        /// The log files.
        files: Vec<PathBuf>,
        /// Whether to write JSON.
        json: bool,
    },
    /// Lists the absences of long-running steps, the longest first.
    Away {
        /// The log files; standard input if there are none.
        files: Vec<PathBuf>,
        /// Whether to write JSON.
        json: bool,
    },
    /// Shows the help.
    Help,
    /// Shows the version.
    Version,
}

/// The member that a command calls, and how to call it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// The member's address for operators.
    pub to: SocketAddr,
    /// The file that holds the secret.
    pub secret: PathBuf,
    /// Whether to write JSON.
    pub json: bool,
}

/// An error in a command line.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display)]
#[display("{cause}")]
pub struct Usage {
    /// What is wrong, and what would be right.
    pub cause: Box<str>,
    /// Whether to write JSON.
    pub json: bool,
}

/// The exit codes of all commands.
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
    Invalid = 3,
    /// Another text was accepted first.
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
            Kind::BadText | Kind::BadSettings => Exit::Invalid,
            Kind::Conflict => Exit::Conflict,
            Kind::OutcomeUnknown | Kind::Timeout | Kind::Broken => Exit::Unknown,
            _ => Exit::Refused,
        }
    }
}

/// The options of a command line, before they are matched with the command.
#[derive(Default)]
struct Options {
    positional: Vec<OsString>,
    settings: Option<OsString>,
    to: Option<OsString>,
    secret: Option<OsString>,
    base: Option<OsString>,
    by: Option<OsString>,
    shards: Option<OsString>,
    json: bool,
    away: bool,
    help: bool,
    version: bool,
}

/// Parses the arguments of a command line, without the program's name.
///
/// # Errors
///
/// Errs on an unknown command or option, and on a missing or malformed value. `json` of the error
/// says whether `--json` is among the arguments.
pub fn parse(args: Vec<OsString>) -> Result<Command, Usage> {
    // Errors are written as JSON even if `--json` follows the argument at fault.
    let json = args.iter().any(|a| a == "--json");
    parse_command(args).map_err(|e| Usage { cause: e.to_string().into(), json })
}

fn parse_command(args: Vec<OsString>) -> Result<Command, lexopt::Error> {
    let mut options = parse_options(args)?;
    if options.help {
        return Ok(Command::Help);
    }
    if options.version {
        return Ok(Command::Version);
    }
    let name = match options.positional.is_empty() {
        true => return Err("no command; try --help".into()),
        false => options.positional.remove(0).string()?,
    };
    let command = match &*name {
        "serve" => {
            let settings = require(options.settings.take(), "serve", "--settings FILE")?;
            Command::Serve { settings: settings.into() }
        }
        "check" => Command::Check {
            text: text_path(&mut options, "check")?,
            json: take_json(&mut options),
        },
        "submit" => Command::Submit {
            text: text_path(&mut options, "submit")?,
            base: options.base.take().map(parse_base).transpose()?,
            by: options.by.take().map(|v| v.string().map(Box::from)).transpose()?,
            target: target(&mut options, "submit")?,
        },
        "show" => match options.shards.take() {
            Some(word) => {
                Command::ShowShards { addrs: parse_addresses(word)?, json: take_json(&mut options) }
            }
            None => Command::Show(target(&mut options, "show")?),
        },
        "drain" => Command::Drain(target(&mut options, "drain")?),
        "trace" => trace_command(&mut options)?,
        other => return Err(format!("no command is called {other:?}; try --help").into()),
    };
    match options.first_unused() {
        Some(word) => Err(format!("{name} takes no {word}; try --help").into()),
        None => Ok(command),
    }
}

fn parse_options(args: Vec<OsString>) -> Result<Options, lexopt::Error> {
    let mut parser = Parser::from_args(args);
    let mut options = Options::default();
    while let Some(arg) = parser.next()? {
        let (slot, name) = match arg {
            Arg::Value(word) => {
                options.positional.push(word);
                continue;
            }
            Arg::Long("json") => {
                options.json = true;
                continue;
            }
            Arg::Long("away") => {
                options.away = true;
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
            Arg::Long("shards") => (&mut options.shards, "--shards"),
            other => return Err(other.unexpected()),
        };
        if slot.replace(parser.value()?).is_some() {
            return Err(format!("{name} stands twice").into());
        }
    }
    Ok(options)
}

impl Options {
    /// The first argument or option that the command has not used.
    fn first_unused(&self) -> Option<String> {
        let named = [
            (&self.settings, "--settings"),
            (&self.to, "--to"),
            (&self.secret, "--secret-file"),
            (&self.base, "--base"),
            (&self.by, "--by"),
            (&self.shards, "--shards"),
        ];
        let named = named.into_iter().find(|(value, _)| value.is_some()).map(|(_, name)| name);
        let flags = [(self.json, "--json"), (self.away, "--away")];
        let flag = flags.into_iter().find(|(is_set, _)| *is_set).map(|(_, name)| name);
        let word = self.positional.first().map(|w| format!("{:?}", w.to_string_lossy()));
        word.or(named.or(flag).map(String::from))
    }
}

fn require(value: Option<OsString>, name: &str, what: &str) -> Result<OsString, lexopt::Error> {
    value.ok_or_else(|| format!("{name} needs {what}; try --help").into())
}

fn text_path(options: &mut Options, name: &str) -> Result<PathBuf, lexopt::Error> {
    let word =
        if options.positional.is_empty() { None } else { Some(options.positional.remove(0)) };
    require(word, name, "the file of a text").map(PathBuf::from)
}

fn trace_command(options: &mut Options) -> Result<Command, lexopt::Error> {
    let mut positional = std::mem::take(&mut options.positional).into_iter();
    if std::mem::take(&mut options.away) {
        let files = positional.map(PathBuf::from).collect();
        return Ok(Command::Away { files, json: take_json(options) });
    }
    let word = require(positional.next(), "trace", "an ID and FILES")?.string()?;
    let remedy = "a job's 16 hexadecimal digits, or the name of a step or task";
    let id = trace::Id::read(&word).ok_or(format!("ID cannot be {word:?}; {remedy}"))?;
    let files: Vec<PathBuf> = positional.map(PathBuf::from).collect();
    if files.is_empty() {
        return Err("trace needs FILES; try --help".into());
    }
    Ok(Command::Trace { id, files, json: take_json(options) })
}

fn parse_base(word: OsString) -> Result<Version, lexopt::Error> {
    let remedy = "a version, as show gives it";
    word.parse().map_err(|_: lexopt::Error| format!("--base cannot be {word:?}; {remedy}").into())
}

fn parse_address(word: OsString) -> Result<SocketAddr, lexopt::Error> {
    let remedy = "an IP number and a port, like 10.0.0.1:8081";
    word.parse().map_err(|_: lexopt::Error| format!("--to cannot be {word:?}; {remedy}").into())
}

/// Parses addresses that are separated by commas. One that stands twice counts once.
fn parse_addresses(word: OsString) -> Result<Vec<SocketAddr>, lexopt::Error> {
    let word = word.string()?;
    let remedy = "IP numbers and ports, like 10.0.0.1:9464,10.0.0.2:9464";
    let one = |part: &str| {
        let wrong = |_| format!("--shards cannot have {part:?}; {remedy}");
        part.trim().parse::<SocketAddr>().map_err(wrong)
    };
    let addrs: BTreeSet<SocketAddr> = word.split(',').map(one).collect::<Result<_, _>>()?;
    if addrs.len() > MAX_ADDRESSES {
        return Err(format!("--shards takes up to {MAX_ADDRESSES} addresses").into());
    }
    Ok(addrs.into_iter().collect())
}

fn take_json(options: &mut Options) -> bool {
    std::mem::take(&mut options.json)
}

fn target(options: &mut Options, name: &str) -> Result<Target, lexopt::Error> {
    Ok(Target {
        to: parse_address(require(options.to.take(), name, "--to ADDR")?)?,
        secret: require(options.secret.take(), name, "--secret-file FILE")?.into(),
        json: take_json(options),
    })
}

/// What `check --json` writes.
#[derive(Serialize)]
struct Checked<'a> {
    ok: bool,
    errors: &'a [Fault],
}

/// An error that is not one of a text, as `--json` writes it.
#[derive(Serialize)]
struct Failed<'a> {
    ok: bool,
    cause: &'a str,
}

/// Checks the text in a file, and writes its faults or a summary.
pub fn check(path: &Path, json: bool) -> Exit {
    let bytes = match read_limited(path) {
        Ok(bytes) => bytes,
        Err(e) => return fail(Exit::Usage, &format!("cannot read {}: {e}", path.display()), json),
    };
    let (exit, faults) = match Plan::read_bytes(&bytes) {
        Ok(plan) if !json => {
            let (pools, teams) = (plan.pools.len(), plan.teams.len());
            let (services, jobs) = (plan.services.len(), plan.jobs.len());
            print_line(format_args!(
                "{}: good (pools {pools}, teams {teams}, services {services}, jobs {jobs})",
                path.display()
            ));
            return Exit::Done;
        }
        Ok(_) => (Exit::Done, Vec::new()),
        Err(faults) => (Exit::Invalid, faults),
    };
    if json {
        write_json(&Checked { ok: faults.is_empty(), errors: &faults });
    } else {
        print_faults(path, &faults);
    }
    exit
}

/// Writes an error: as text to standard error, or as JSON to standard output. Returns `exit`.
pub fn fail(exit: Exit, cause: &str, json: bool) -> Exit {
    if json {
        write_json(&Failed { ok: false, cause });
    } else {
        let _ = writeln!(io::stderr(), "dogwoodreach: {cause}");
    }
    exit
}

/// Reads a file up to one byte over [`MAX_TEXT_BYTES`], which is enough to refuse a longer file.
pub(crate) fn read_limited(path: &Path) -> io::Result<Vec<u8>> {
    let mut bytes = Vec::new();
    File::open(path)?.take(MAX_TEXT_BYTES as u64 + 1).read_to_end(&mut bytes)?;
    Ok(bytes)
}

fn print_faults(path: &Path, faults: &[Fault]) {
    let mut out = io::BufWriter::new(io::stderr().lock());
    for fault in faults {
        let _ = writeln!(out, "{}: {fault}", path.display());
    }
}

/// Writes a line to standard output. Ignores errors: a closed pipe must not fail the command.
pub fn print_line(line: fmt::Arguments<'_>) {
    let _ = writeln!(io::stdout(), "{line}");
}

/// Writes a value as JSON and a line end to standard output.
pub fn write_json(value: &impl Serialize) {
    let mut out = io::stdout().lock();
    let _ = serde_json::to_writer(&mut out, value);
    let _ = writeln!(out);
}

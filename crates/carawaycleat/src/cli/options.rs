use std::net;
use std::path;
use std::str;

use bpaf::Parser as _;
use carawaycleat_core::name;
use carawaycleat_core::resource;
use carawaycleat_core::timeline;

/// The width of the help text in characters.
pub(super) const WIDTH: usize = 100;

/// The default operators' address of an entry host.
const DEFAULT_SERVER: net::SocketAddr =
    net::SocketAddr::new(net::IpAddr::V4(net::Ipv4Addr::LOCALHOST), 8081);

/// The parsed command line.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Options {
    /// The options that all commands accept.
    pub common: Common,
    /// The command to run.
    pub command: Command,
}

/// The options that all commands accept, with defaults applied.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Common {
    /// The operators' addresses of entry hosts. Not empty.
    pub servers: Vec<net::SocketAddr>,
    /// The output format.
    pub output: Output,
}

/// An output format.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Output {
    /// Human-readable text.
    #[default]
    Text,
    /// Machine-readable JSON.
    Json,
}

impl str::FromStr for Output {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "text" => Ok(Self::Text),
            "json" => Ok(Self::Json),
            _ => Err("must be `text` or `json`".to_owned()),
        }
    }
}

/// A command with its arguments.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Command {
    /// Validates manifests without a server.
    Check {
        /// The manifests.
        files: Vec<path::PathBuf>,
    },
    /// Creates or updates the resources of manifests.
    Apply {
        /// The revision that the resource must have; allowed only for a single resource.
        if_match: Option<u64>,
        /// Whether to show only what would be written.
        dry_run: bool,
        /// The manifests.
        files: Vec<path::PathBuf>,
    },
    /// Shows resources.
    Get {
        /// The kind.
        kind: resource::Kind,
        /// The name, or none for all of the kind.
        name: Option<name::Name>,
    },
    /// Deletes a resource.
    Delete {
        /// The revision that the resource must have; none for any.
        if_match: Option<u64>,
        /// The kind.
        kind: resource::Kind,
        /// The name.
        name: name::Name,
    },
    /// Follows changes.
    Watch {
        /// The kind, or none for all.
        kind: Option<resource::Kind>,
    },
    /// Shows the cut responses in logs.
    Cuts {
        /// The log files; standard input if empty.
        files: Vec<path::PathBuf>,
    },
    /// Shows the history of one request from logs.
    Explain {
        /// The request identifier that the caller sent.
        id: String,
        /// The log files; standard input if empty.
        files: Vec<path::PathBuf>,
    },
    /// Shows the state of entry hosts.
    Status,
    /// Shows the timeline.
    Timeline {
        /// Whether to query only the given servers.
        local: bool,
        /// The events to show.
        filter: timeline::Filter,
    },
}

/// The common options as parsed, either before or after the command name.
#[derive(Clone, Debug)]
struct CommonArgs {
    servers: Vec<net::SocketAddr>,
    output: Option<Output>,
}

type Invocation = (CommonArgs, Command);

/// Returns the parser of the command line.
pub(super) fn parser() -> bpaf::OptionParser<Options> {
    let outer = common_args();
    let inner = command();
    bpaf::construct!(outer, inner)
        .map(|(outer, (inner, command))| Options { common: merge(outer, inner), command })
        .to_options()
        .descr("Operates the carawaycleat serving system.")
        .header("Start with `carawaycleat check FILE`, then `carawaycleat apply FILE` and `carawaycleat status`.")
        .footer(
            "Exit codes: 0 done, 1 refused or failed, 2 wrong command line or invalid file, 3 conflict with another \
             change, 4 server not reachable.",
        )
        .version(env!("CARGO_PKG_VERSION"))
}

fn merge(outer: CommonArgs, inner: CommonArgs) -> Common {
    let mut servers = outer.servers;
    servers.extend(inner.servers);
    if servers.is_empty() {
        servers.push(DEFAULT_SERVER);
    }
    let output = inner.output.or(outer.output).unwrap_or_default();
    Common { servers, output }
}

fn common_args() -> impl bpaf::Parser<CommonArgs> {
    let servers = bpaf::long("server")
        .help(
            "Operators' address of an entry host, IP and port; 127.0.0.1:8081 when not given. Repeat it to ask several \
             hosts (status, timeline) or to name alternatives (all other commands)",
        )
        .argument::<net::SocketAddr>("ADDRESS")
        .many();
    let output = bpaf::long("output")
        .help("Output format: text (default) or json")
        .argument::<Output>("FORMAT")
        .optional();
    bpaf::construct!(CommonArgs { servers, output })
}

fn command() -> impl bpaf::Parser<Invocation> {
    let (check, apply, get, delete) = (check(), apply(), get(), delete());
    let (watch, cuts, explain, status, timeline) =
        (watch(), cuts(), explain(), status(), timeline());
    bpaf::construct!([
        check, apply, get, delete, watch, cuts, explain, status, timeline
    ])
}

fn check() -> impl bpaf::Parser<Invocation> {
    let common = common_args();
    let files = files();
    let command = bpaf::construct!(Command::Check { files });
    bpaf::construct!(common, command)
        .to_options()
        .descr("Checks resource files without a server and reports all problems with file, line and what is allowed.")
        .command("check")
        .help("Check resource files without a server")
}

fn apply() -> impl bpaf::Parser<Invocation> {
    let common = common_args();
    let if_match = if_match();
    let dry_run = bpaf::long("dry-run")
        .help("Show what would be written and write nothing")
        .switch();
    let files = files();
    let command = bpaf::construct!(Command::Apply {
        if_match,
        dry_run,
        files
    });
    bpaf::construct!(common, command)
        .to_options()
        .descr("Creates or updates the resources in files. Resources that are not in the files stay as they are.")
        .command("apply")
        .help("Create or update the resources in files")
}

fn get() -> impl bpaf::Parser<Invocation> {
    let common = common_args();
    let kind = kind();
    let name = name().optional();
    let command = bpaf::construct!(Command::Get { kind, name });
    bpaf::construct!(common, command)
        .to_options()
        .descr("Shows one resource or all of a kind. The text output is a resource file that can be applied again.")
        .command("get")
        .help("Show resources")
}

fn delete() -> impl bpaf::Parser<Invocation> {
    let common = common_args();
    let if_match = if_match();
    let kind = kind();
    let name = name();
    let command = bpaf::construct!(Command::Delete {
        if_match,
        kind,
        name
    });
    bpaf::construct!(common, command)
        .to_options()
        .descr("Deletes a resource that no other resource names.")
        .command("delete")
        .help("Delete a resource")
}

fn watch() -> impl bpaf::Parser<Invocation> {
    let common = common_args();
    let kind = kind().optional();
    let command = bpaf::construct!(Command::Watch { kind });
    bpaf::construct!(common, command)
        .to_options()
        .descr("Shows each change of a resource as it happens, until it is interrupted.")
        .command("watch")
        .help("Follow changes of resources")
}

fn cuts() -> impl bpaf::Parser<Invocation> {
    let common = common_args();
    let files = log_files();
    let command = bpaf::construct!(Command::Cuts { files });
    bpaf::construct!(common, command)
        .to_options()
        .descr("Shows the responses in the logs of several processes that were cut after their callers had got a part of them, by reason. Fails with exit code 1 if one was cut before its time limit.")
        .command("cuts")
        .help("Show cut responses from logs")
}

/// Parses the log files of a command that reads logs.
fn log_files() -> impl bpaf::Parser<Vec<path::PathBuf>> {
    bpaf::positional::<path::PathBuf>("FILE")
        .help("Log of a process; standard input when there is none")
        .many()
}

fn explain() -> impl bpaf::Parser<Invocation> {
    let common = common_args();
    let id =
        bpaf::positional::<String>("ID").help("Identifier of the request, as its caller gave it");
    let files = log_files();
    let command = bpaf::construct!(Command::Explain { id, files });
    bpaf::construct!(common, command)
        .to_options()
        .descr("Shows the decisions about one request in the logs of several processes, and its cause.")
        .command("explain")
        .help("Explain what happened to one request from logs")
}

fn status() -> impl bpaf::Parser<Invocation> {
    let common = common_args();
    let command = bpaf::pure(Command::Status);
    bpaf::construct!(common, command)
        .to_options()
        .descr("Shows the state of each entry host given with --server: revision, freshness, shards, peers, upstreams.")
        .command("status")
        .help("Show the state of entry hosts")
}

fn timeline() -> impl bpaf::Parser<Invocation> {
    let common = common_args();
    let request = bpaf::long("request")
        .help("Only this request")
        .argument::<String>("ID")
        .optional();
    let workspace = name_option("workspace", "Only this workspace", "WORKSPACE");
    let model = name_option("model", "Only this model", "MODEL");
    let upstream = name_option("upstream", "Only this upstream", "UPSTREAM");
    let since = bpaf::long("since")
        .help("Only events at or after this time, in milliseconds since 1970-01-01 UTC")
        .argument::<u64>("MS")
        .optional();
    let limit = bpaf::long("limit")
        .help("Only the latest N events")
        .argument::<usize>("N")
        .optional();
    let local = bpaf::long("local")
        .help(
            "Ask only the servers given with --server, not the other entry hosts and the sidecars",
        )
        .switch();
    let filter = bpaf::construct!(timeline::Filter {
        request,
        workspace,
        model,
        upstream,
        since,
        limit
    });
    let command = bpaf::construct!(Command::Timeline { local, filter });
    bpaf::construct!(common, command)
        .to_options()
        .descr("Shows the events of all entry hosts and sidecars in one order.")
        .command("timeline")
        .help("Show what happened to requests, upstreams and hosts")
}

fn files() -> impl bpaf::Parser<Vec<path::PathBuf>> {
    bpaf::positional::<path::PathBuf>("FILE")
        .help("Resource file: TOML with [[model]], [[workspace]], [[key]] and the tables of the other kinds")
        .some("at least one FILE is needed")
}

fn if_match() -> impl bpaf::Parser<Option<u64>> {
    bpaf::long("if-match")
        .help("Write only if the resource still has this revision")
        .argument::<u64>("REVISION")
        .optional()
}

fn kind() -> impl bpaf::Parser<resource::Kind> {
    bpaf::positional::<resource::Kind>("KIND")
        .help("model, adapter, version, workspace, key, rate, route or upstream")
}

fn name() -> impl bpaf::Parser<name::Name> {
    bpaf::positional::<String>("NAME")
        .help("Name of the resource")
        .parse(|text| name::Name::parse(&text))
}

fn name_option(
    long: &'static str,
    help: &'static str,
    meta: &'static str,
) -> impl bpaf::Parser<Option<name::Name>> {
    bpaf::long(long)
        .help(help)
        .argument::<String>(meta)
        .parse(|text| name::Name::parse(&text))
        .optional()
}

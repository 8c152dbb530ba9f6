use std::path;

use bpaf::Parser as _;

/// The command-line options of a daemon.
#[derive(Clone, Debug)]
pub(super) struct Options {
    pub(super) settings: path::PathBuf,
    pub(super) check: bool,
}

/// Parses the command line. Exits with code 2 on a usage error, and with 0 after printing the help or the version.
pub(super) fn parse(program: &'static str, description: &'static str) -> Options {
    let settings = bpaf::long("settings")
        .help("Settings in TOML")
        .argument::<path::PathBuf>("FILE");
    let check = bpaf::long("check")
        .help("Check the settings and exit")
        .switch();
    let parser = bpaf::construct!(Options { settings, check })
        .to_options()
        .descr(description)
        .version(env!("CARGO_PKG_VERSION"));
    match parser.run_inner(bpaf::Args::current_args().set_name(program)) {
        Ok(options) => options,
        Err(failure) => {
            failure.print_message(100);
            let code = if failure.exit_code() == 0 {
                0
            } else {
                crate::settings::EXIT_INVALID.into()
            };
            std::process::exit(code);
        }
    }
}

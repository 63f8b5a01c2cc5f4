//! `peatgradectl`: changes templates and tenants and shows their status.
//!
//! Every change names the version it was made from, so that nothing is
//! overwritten unseen. Exit codes: 0 done, 1 error, 2 wrong usage, 3 a change
//! is pending or differs (`diff`), 4 another operator was faster, 5 the system
//! refused the document.

mod changes;
mod client;
pub mod explain;
pub mod processes;
mod view;

use clap::{CommandFactory, Parser, Subcommand, ValueEnum};
use clap_complete::Shell;
use std::path::PathBuf;
use std::process::ExitCode;

/// Something went wrong.
pub const EXIT_ERROR: u8 = 1;
/// There is a difference.
pub const EXIT_DIFFERS: u8 = 3;
/// Another operator changed the object first.
pub const EXIT_CONFLICT: u8 = 4;
/// The system refused the document.
pub const EXIT_REFUSED: u8 = 5;

/// Changes templates and tenants and shows their status.
#[derive(Debug, Parser)]
#[command(name = "peatgradectl", version)]
pub struct Cli {
    /// IP:port of the platform's object API
    #[arg(
        long,
        global = true,
        env = "PEATGRADE_PLATFORM",
        default_value = "127.0.0.1:17000"
    )]
    platform: String,
    /// Name under which changes are recorded
    #[arg(long, global = true, env = "USER", default_value = "operator")]
    author: String,
    /// Form of the output
    #[arg(short, long, global = true, value_enum, default_value_t = Output::Text)]
    output: Output,
    #[command(subcommand)]
    command: Command,
}

/// Form of the output.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Output {
    /// Lines for people.
    Text,
    /// One JSON document.
    Json,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Create or change what the files under a folder declare
    Apply {
        /// Folder with templates/ and tenants/
        #[arg(short = 'f', long = "file", value_name = "FOLDER")]
        folder: PathBuf,
        /// Wait this many seconds until everything is accepted or refused
        #[arg(long, default_value_t = 0)]
        wait: u64,
    },
    /// Show what apply would change
    Diff {
        /// Folder with templates/ and tenants/
        #[arg(short = 'f', long = "file", value_name = "FOLDER")]
        folder: PathBuf,
    },
    /// List objects
    Get {
        /// template, tenant or kind/name; everything if left out
        what: Option<String>,
    },
    /// Show one object with its status
    Describe {
        /// kind/name
        key: String,
    },
    /// Show whether objects are accepted
    Status {
        /// Show changes as they happen, until Ctrl-C
        #[arg(long)]
        watch: bool,
    },
    /// Delete an object
    Delete {
        /// kind/name
        key: String,
        /// Delete only this version
        #[arg(long)]
        version: Option<u64>,
    },
    /// Show what the logs of several processes tell of one request, item or job
    Explain {
        /// Its id
        id: String,
        /// Log files of JSON lines
        #[arg(long, required = true, num_args = 1.., value_name = "FILE")]
        logs: Vec<PathBuf>,
    },
    /// Show what gateway and storage processes say of themselves
    Processes {
        /// Their metrics addresses
        #[arg(required = true, value_name = "IP:PORT")]
        addresses: Vec<String>,
    },
    /// Print completions for a shell
    Completions {
        /// The shell
        shell: Shell,
    },
}

/// Carries a command out.
pub fn run(cli: &Cli) -> Result<ExitCode, String> {
    let store = client::Store::new(&cli.platform, &cli.author);
    match &cli.command {
        Command::Apply { folder, wait } => changes::apply(&store, folder, *wait, cli.output),
        Command::Diff { folder } => changes::diff(&store, folder, cli.output),
        Command::Get { what } => view::get(&store, what.as_deref(), cli.output),
        Command::Describe { key } => view::describe(&store, key),
        Command::Status { watch } => view::status(&store, *watch, cli.output),
        Command::Delete { key, version } => changes::delete(&store, key, *version),
        Command::Explain { id, logs } => {
            let lines = explain::read_logs(logs)?;
            for line in explain::explain(id, &lines)? {
                println!("{line}");
            }
            Ok(ExitCode::SUCCESS)
        }
        Command::Processes { addresses } => processes::show(addresses, cli.output),
        Command::Completions { shell } => {
            let mut command = Cli::command();
            clap_complete::generate(*shell, &mut command, "peatgradectl", &mut std::io::stdout());
            Ok(ExitCode::SUCCESS)
        }
    }
}

//! `peatgrade bench scale` and `peatgrade bench times`.

use clap::Args;
use peatgrade_bench::page::page;
use peatgrade_bench::plot::{lines, Labels, Series};
use peatgrade_bench::scale::{scale, times, ScaleReport, SizeReport};
use std::collections::BTreeMap;
use std::path::PathBuf;

/// Which sizes to measure.
#[derive(Debug, Args)]
pub struct ScaleArgs {
    /// Nodes in each of four zones
    #[arg(long, value_delimiter = ',', default_value = "5,12,23,34,45")]
    nodes_per_zone: Vec<u32>,
    /// Write the report as JSON
    #[arg(long, value_name = "FILE")]
    json: Option<PathBuf>,
    /// Write plots as a page
    #[arg(long, value_name = "FILE")]
    html: Option<PathBuf>,
}

/// Which runs to make.
#[derive(Debug, Args)]
pub struct TimesArgs {
    /// Nodes in each of four zones
    #[arg(long, default_value_t = 45)]
    nodes_per_zone: u32,
    /// Seeds, as FIRST..END
    #[arg(long, default_value = "1..4", value_parser = super::fuzz::parse_seeds)]
    seeds: (u64, u64),
    /// Take the platform's store down before the first failure
    #[arg(long)]
    store_down: bool,
    /// Let nothing fail
    #[arg(long, conflicts_with = "store_down")]
    quiet: bool,
}

/// Measures every size and prints the figures.
pub fn run(args: &ScaleArgs) -> Result<(), String> {
    let report = scale(&args.nodes_per_zone, print_size);
    for (name, fit) in &report.fits {
        println!(
            "{name}: {:.4} + {:.6} per node, residual {:.4}; at 180 nodes {:.4}",
            fit.intercept,
            fit.slope,
            fit.residual,
            fit.at(180.0)
        );
    }
    if let Some(path) = &args.json {
        let text = serde_json::json!(report).to_string();
        std::fs::write(path, text).map_err(|e| format!("write {}: {e}", path.display()))?;
    }
    if let Some(path) = &args.html {
        std::fs::write(path, plots(&report))
            .map_err(|e| format!("write {}: {e}", path.display()))?;
    }
    Ok(())
}

fn print_size(size: &SizeReport) {
    println!(
        "{} nodes, {} engines: mean {:.0} B/s out {:.0} in, core {:.3} %; worst out {:.0} ({}), in {:.0} ({}), core {:.3} % ({}); {:.2} MB a node; tick {:.0} ns",
        size.nodes,
        size.engines,
        size.mean_bytes.0,
        size.mean_bytes.1,
        size.mean_core_share * 100.0,
        size.worst_out.bytes.0,
        size.worst_out.roles.join("+"),
        size.worst_in.bytes.1,
        size.worst_in.roles.join("+"),
        size.worst_core.core_share * 100.0,
        size.worst_core.roles.join("+"),
        size.memory_per_node / 1e6,
        size.tick_nanos
    );
    for (role, figures) in &size.roles {
        println!(
            "    {role} ({}): {:.1} msg/s out {:.1} in, {:.0} B/s out {:.0} in, core {:.3} %, registers {} B",
            figures.name,
            figures.messages.0,
            figures.messages.1,
            figures.bytes.0,
            figures.bytes.1,
            figures.core_share * 100.0,
            figures.register_bytes
        );
    }
    print_kinds("worst out", &size.worst_out.kinds, |rates| rates.0);
    print_kinds("worst in", &size.worst_in.kinds, |rates| rates.1);
}

/// Prints the kinds of message with the most bytes.
fn print_kinds(whose: &str, kinds: &BTreeMap<String, (f64, f64)>, pick: fn(&(f64, f64)) -> f64) {
    const SHOWN: usize = 6;
    let mut kinds: Vec<_> = kinds.iter().collect();
    kinds.sort_by(|left, right| pick(right.1).total_cmp(&pick(left.1)));
    for (kind, (out, received)) in kinds.into_iter().take(SHOWN) {
        println!("      {whose}, {kind}: {out:.0} B/s out {received:.0} in");
    }
}

fn plots(report: &ScaleReport) -> String {
    let series = |name: &str, pick: &dyn Fn(&SizeReport) -> f64| Series {
        name: name.to_string(),
        points: report
            .sizes
            .iter()
            .map(|size| (f64::from(size.nodes), pick(size)))
            .collect(),
    };
    let plot = |title: &str, y: &str, series: &[Series]| {
        let labels = Labels {
            title,
            x: "nodes of a region",
            y,
        };
        lines(&labels, series)
    };
    let bytes = [
        series("worst out", &|size| size.worst_out.bytes.0),
        series("worst in", &|size| size.worst_in.bytes.1),
        series("mean out", &|size| size.mean_bytes.0),
        series("mean in", &|size| size.mean_bytes.1),
    ];
    let core = [
        series("worst", &|size| size.worst_core.core_share * 100.0),
        series("mean", &|size| size.mean_core_share * 100.0),
    ];
    let memory = [series("a node", &|size| size.memory_per_node / 1e6)];
    let content = plot("Control traffic of a node", "B/s", &bytes)
        + &plot("Processor time for control", "% of a core", &core)
        + &plot("Memory, models included", "MB", &memory);
    page("Control at several sizes", &content)
}

/// Runs the failures and prints the times.
pub fn run_times(args: &TimesArgs) -> Result<(), String> {
    for seed in args.seeds.0..args.seeds.1 {
        let report = times(args.nodes_per_zone, seed, args.store_down, args.quiet);
        println!("{}", serde_json::json!(report));
    }
    Ok(())
}

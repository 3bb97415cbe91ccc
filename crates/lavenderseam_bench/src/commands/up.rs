//! Starts a deployment and leaves it running.

use std::process::ExitCode;
use std::time::Duration;

use argh::FromArgs;
use lavenderseam_bench::Error;
use lavenderseam_bench::launcher::{Cluster, Deployment, Options, Programs};

/// Start a deployment and leave it running for a while.
#[derive(FromArgs)]
#[argh(subcommand, name = "up")]
pub(crate) struct Up {
    /// khangai or fiji
    #[argh(positional)]
    deployment: String,
    /// seconds to run
    #[argh(option, default = "60")]
    seconds: u64,
    /// seed of the stand-ins
    #[argh(option, default = "1")]
    seed: u64,
    /// start the stand-ins only
    #[argh(switch)]
    stand_ins_only: bool,
    /// keep the settings and logs
    #[argh(switch)]
    keep_files: bool,
}

impl Up {
    pub(crate) async fn execute(self) -> Result<ExitCode, Error> {
        let options = Options {
            seed: self.seed,
            stand_ins_only: self.stand_ins_only,
            keep_files: self.keep_files,
            ..Options::default()
        };
        let deployment = Deployment::named(&self.deployment)?;
        let stay = async {
            let cluster = Cluster::start(deployment, &Programs::new()?, &options).await?;
            describe(&cluster);
            tokio::time::sleep(Duration::from_secs(self.seconds)).await;
            Ok(ExitCode::SUCCESS)
        };
        tokio::select! {
            outcome = stay => outcome,
            () = super::interrupted() => Ok(ExitCode::SUCCESS),
        }
    }
}

fn describe(cluster: &Cluster) {
    let network = cluster.network();
    for (index, group) in cluster.deployment().groups.iter().enumerate() {
        println!("service {} at {}", group.name, network.service(index));
    }
    println!("object API at {}", network.store());
    println!("files in {}", cluster.directory().display());
    for process in cluster.processes() {
        println!("{:>8} {}", process.id().unwrap_or(0), process.name());
    }
}

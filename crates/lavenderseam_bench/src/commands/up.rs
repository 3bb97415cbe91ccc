//! Subcommand that starts a deployment and leaves it running.

use std::process::ExitCode;
use std::time::Duration;

use argh::FromArgs;
use lavenderseam_bench::Error;
use lavenderseam_bench::launcher::{Cluster, Deployment, Options, Programs};

/// Start a deployment and keep it running for a given time.
#[derive(FromArgs)]
#[argh(subcommand, name = "up")]
pub(crate) struct Up {
    /// deployment to start: khangai or fiji
    #[argh(positional)]
    deployment: String,
    /// time to keep the deployment running, in seconds
    #[argh(option, default = "60")]
    seconds: u64,
    /// seed for the stand-ins
    #[argh(option, default = "1")]
    seed: u64,
    /// start only the stand-ins
    #[argh(switch)]
    stand_ins_only: bool,
    /// keep the settings and log files of the processes
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
        let deployment = Deployment::by_name(&self.deployment)?;
        let run_deployment = async {
            let cluster = Cluster::start(deployment, &Programs::new()?, &options).await?;
            print_deployment(&cluster);
            tokio::time::sleep(Duration::from_secs(self.seconds)).await;
            Ok(ExitCode::SUCCESS)
        };
        tokio::select! {
            result = run_deployment => result,
            () = super::wait_for_interrupt() => Ok(ExitCode::SUCCESS),
        }
    }
}

/// Prints the addresses, files and processes of a deployment.
fn print_deployment(cluster: &Cluster) {
    let network = cluster.network();
    for (index, group) in cluster.deployment().groups.iter().enumerate() {
        println!("service {} at {}", group.name, network.service(index));
    }
    println!("object API at {}", network.object_api());
    println!("files in {}", cluster.files_directory().display());
    for process in cluster.processes() {
        println!("{:>8} {}", process.pid().unwrap_or(0), process.name());
    }
}

//! Runs a fake worker that sends its heartbeats to the control replicas.
//!
//! Usage: `fake-worker NAME CONTROL...`.

use jasminefall_testing::worker;

#[actix_rt::main]
async fn main() -> anyhow::Result<()> {
    let mut arguments = std::env::args().skip(1);
    let name = arguments
        .next()
        .ok_or_else(|| anyhow::anyhow!("usage: fake-worker NAME IP:PORT..."))?;
    let control = arguments
        .map(|address| address.parse())
        .collect::<Result<Vec<_>, _>>()?;
    worker::run(&name, &control).await;
    Ok(())
}

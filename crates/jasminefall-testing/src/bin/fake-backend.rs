//! Runs a fake backend server that announces itself to an entry.
//!
//! Usage: `fake-backend ADDRESS SERVICE ENTRY`.

use jasminefall_testing::backend::FakeBackend;

#[actix_rt::main]
async fn main() -> anyhow::Result<()> {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [address, service, entry] = arguments.as_slice() else {
        anyhow::bail!("usage: fake-backend IP:PORT SERVICE ENTRY_IP:PORT")
    };
    let backend = FakeBackend::start(address.parse()?)?.with_announcements(entry.parse()?, service);
    println!("backend server on {}", backend.address);
    std::future::pending().await
}

//! TLS on the operators' listener: the certificate is replaced while connections are open.

use std::path::Path;
use std::sync::Arc;

use jasminefall_testing::site::{Site, wait_for};
use rustls::pki_types::CertificateDer;
use rustls::pki_types::pem::PemObject;
use rustls::{ClientConfig, RootCertStore};

/// Writes a new self-signed certificate for the site's address, its key, and a copy of the
/// certificate at `trusted`.
fn write_certificate(site: &Site, trusted: &Path) {
    let names = vec![site.operators_address(0).ip().to_string()];
    let certificate = rcgen::generate_simple_self_signed(names).unwrap();
    std::fs::write(
        site.folder().join("tls.key"),
        certificate.signing_key.serialize_pem(),
    )
    .unwrap();
    std::fs::write(site.folder().join("tls.pem"), certificate.cert.pem()).unwrap();
    std::fs::write(trusted, certificate.cert.pem()).unwrap();
}

/// Adds the TLS files to the settings of the control replica.
fn configure_certificate(site: &Site) {
    let path = site.folder().join("control-0.ini");
    let folder = site.folder().display();
    let keys = format!(
        "[control]\noperators_certificate = {folder}/tls.pem\noperators_key = {folder}/tls.key\n"
    );
    let text = std::fs::read_to_string(&path).unwrap();
    std::fs::write(&path, text.replace("[control]\n", &keys)).unwrap();
}

/// Returns a client that trusts only one certificate and reuses its connections.
fn client(trusted: &Path) -> awc::Client {
    let mut roots = RootCertStore::empty();
    roots
        .add(CertificateDer::from_pem_file(trusted).unwrap())
        .unwrap();
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let config = ClientConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()
        .unwrap()
        .with_root_certificates(roots)
        .with_no_client_auth();
    let connector = awc::Connector::new().rustls_0_23(Arc::new(config));
    awc::Client::builder().connector(connector).finish()
}

async fn is_answered(site: &Site, client: &awc::Client) -> bool {
    let url = format!("https://{}/v1/status", site.operators_address(0));
    let request = client.get(url).bearer_auth(site.read_token());
    let Ok(mut response) = request.send().await else {
        return false;
    };
    // The body must be read, otherwise the connection is not reused.
    response.body().await.is_ok() && response.status().is_success()
}

#[actix_rt::test]
async fn certificate_reload_keeps_open_connections() {
    let site = Site::new(1, 1);
    let [first, second] = ["first.pem", "second.pem"].map(|name| site.folder().join(name));
    write_certificate(&site, &first);
    configure_certificate(&site);
    site.edit_entry(0, |text| {
        let folder = site.folder().display();
        text + &format!("callers_certificate = {folder}/tls.pem\ncallers_key = {folder}/tls.key\n")
    });
    let site = site.started();
    let client_with_connection = client(&first);
    let ready = format!("https://{}/ready", site.callers_address(0));
    wait_for("the callers' listener answers", || async {
        client_with_connection.get(&ready).send().await.is_ok()
    })
    .await;
    wait_for("the listener answers", || {
        is_answered(&site, &client_with_connection)
    })
    .await;
    let status_with_ca = |trusted: &Path| site.ctl(&["--ca", trusted.to_str().unwrap(), "status"]);
    let (success, printed) = status_with_ca(&first);
    assert!(success, "{printed}");
    let (success, _) = site.ctl(&["status"]);
    assert!(!success, "a request without TLS was answered");

    write_certificate(&site, &second);
    wait_for("the listener presents the new certificate", || async {
        // On a new connection the request would fail, since the client does not trust the new
        // certificate.
        assert!(
            is_answered(&site, &client_with_connection).await,
            "the open connection was closed"
        );
        status_with_ca(&second).0
    })
    .await;
    assert!(
        is_answered(&site, &client_with_connection).await,
        "the open connection was closed"
    );
    assert!(!is_answered(&site, &client(&first)).await);

    std::fs::write(site.folder().join("tls.pem"), "no certificate").unwrap();
    assert!(
        status_with_ca(&second).0,
        "the unreadable file replaced the loaded certificate"
    );
}

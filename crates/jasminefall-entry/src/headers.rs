//! Selection of end-to-end HTTP headers, which are forwarded, from hop-by-hop headers.

use actix_web::http::header::{self, HeaderMap, HeaderName, HeaderValue};

/// The headers that are hop-by-hop even if `Connection` does not list them.
const HOP_BY_HOP_HEADERS: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];
/// The headers that are omitted, or set anew for each message, on each hop.
const REGENERATED_HEADERS: [&str; 3] = ["content-length", "expect", "host"];
/// Only the entry may set headers with this prefix.
const RESERVED_PREFIX: &str = "jasminefall-";

/// Holds headers in the received order, with repeated names kept.
pub(crate) type HeaderList = Vec<(HeaderName, HeaderValue)>;

/// Returns the headers to forward.
pub(crate) fn end_to_end(headers: &HeaderMap) -> HeaderList {
    let listed = listed_in_connection(headers);
    let is_end_to_end = |name: &HeaderName| {
        let name = name.as_str();
        !HOP_BY_HOP_HEADERS.contains(&name)
            && !REGENERATED_HEADERS.contains(&name)
            && !name.starts_with(RESERVED_PREFIX)
            && !listed.iter().any(|other| other.eq_ignore_ascii_case(name))
    };
    let forwarded = headers.iter().filter(|(name, _)| is_end_to_end(name));
    forwarded
        .map(|(name, value)| (name.clone(), value.clone()))
        .collect()
}

fn listed_in_connection(headers: &HeaderMap) -> Vec<&str> {
    let values = headers.get_all(header::CONNECTION);
    let texts = values.filter_map(|value| value.to_str().ok());
    texts
        .flat_map(|text| text.split(','))
        .map(str::trim)
        .collect()
}

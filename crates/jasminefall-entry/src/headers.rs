//! Which headers go from one end to the other, and which belong to one connection only.

use actix_web::http::header::{self, HeaderMap, HeaderName, HeaderValue};

/// The headers that belong to one connection whatever `Connection` says.
const HOP_BY_HOP: [&str; 9] = [
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
/// The headers that each side writes anew.
const REGENERATED: [&str; 3] = ["content-length", "expect", "host"];
/// The headers that only the entry may write.
const RESERVED_PREFIX: &str = "jasminefall-";

/// Holds headers in the order and number in which they came.
pub(crate) type HeaderList = Vec<(HeaderName, HeaderValue)>;

/// Returns the headers that are passed on.
pub(crate) fn end_to_end(headers: &HeaderMap) -> HeaderList {
    let named = named_by_connection(headers);
    let passes = |name: &HeaderName| {
        let name = name.as_str();
        !HOP_BY_HOP.contains(&name)
            && !REGENERATED.contains(&name)
            && !name.starts_with(RESERVED_PREFIX)
            && !named.iter().any(|other| other.eq_ignore_ascii_case(name))
    };
    let passed = headers.iter().filter(|(name, _)| passes(name));
    passed
        .map(|(name, value)| (name.clone(), value.clone()))
        .collect()
}

fn named_by_connection(headers: &HeaderMap) -> Vec<&str> {
    let values = headers.get_all(header::CONNECTION);
    let texts = values.filter_map(|value| value.to_str().ok());
    texts
        .flat_map(|text| text.split(','))
        .map(str::trim)
        .collect()
}

//! Fingerprints are equal for retries of a request and differ for other requests.

use peatgrade_quarantine::{Fingerprint, RequestParts};
use rstest::rstest;

fn header(name: &str, value: &str) -> (String, String) {
    (name.to_string(), value.to_string())
}

fn fingerprint(
    method: &str,
    host: &str,
    path: &str,
    headers: &[(String, String)],
    body: &[u8],
) -> Fingerprint {
    Fingerprint::of(&RequestParts {
        method,
        host,
        path,
        headers,
        body,
        tenant: "",
    })
}

#[test]
fn retries_of_a_request_have_the_same_fingerprint() {
    let first = [header("x-id", "1"), header("x-deadline", "2000")];
    let second = [header("x-deadline", "900"), header("x-id", "2")];
    assert_eq!(
        fingerprint("POST", "h.example", "/a/b?c=1", &first, b"body"),
        fingerprint("POST", "H.Example", "/a/b?c=1", &second, b"body")
    );
}

#[rstest]
#[case::method("PUT", "h", "/a/b", &[], b"body")]
#[case::host("POST", "g", "/a/b", &[], b"body")]
#[case::path("POST", "h", "/a/c", &[], b"body")]
#[case::query("POST", "h", "/a/b?q", &[], b"body")]
#[case::body("POST", "h", "/a/b", &[], b"bodz")]
#[case::caller("POST", "h", "/a/b", &[("authorization".to_string(), "t".to_string())], b"body")]
#[case::moved_bytes("POST", "h", "/a/bb", &[], b"ody")]
fn different_requests_have_different_fingerprints(
    #[case] method: &str,
    #[case] host: &str,
    #[case] path: &str,
    #[case] headers: &[(String, String)],
    #[case] body: &[u8],
) {
    let baseline = fingerprint("POST", "h", "/a/b", &[], b"body");
    assert_ne!(baseline, fingerprint(method, host, path, headers, body));
}

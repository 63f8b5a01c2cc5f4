//! The same request has one fingerprint, whatever differs between two tries of it.

use peatgrade_quarantine::{Fingerprint, RequestParts};
use rstest::rstest;

fn header(name: &str, value: &str) -> (String, String) {
    (name.to_string(), value.to_string())
}

fn of(
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
fn tries_of_one_request_are_the_same() {
    let first = [header("x-id", "1"), header("x-deadline", "2000")];
    let second = [header("x-deadline", "900"), header("x-id", "2")];
    assert_eq!(
        of("POST", "h.example", "/a/b?c=1", &first, b"body"),
        of("POST", "H.Example", "/a/b?c=1", &second, b"body")
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
fn other_requests_are_not(
    #[case] method: &str,
    #[case] host: &str,
    #[case] path: &str,
    #[case] headers: &[(String, String)],
    #[case] body: &[u8],
) {
    let usual = of("POST", "h", "/a/b", &[], b"body");
    assert_ne!(usual, of(method, host, path, headers, body));
}

use super::*;
use rstest::rstest;

fn fields(address: &str, zone: &str) -> BTreeMap<String, String> {
    let fields = [("address", address), ("zone", zone), ("replica", "0a")];
    fields
        .map(|(name, value)| (name.into(), value.into()))
        .into()
}

#[test]
fn registration_of_a_machine_is_read() {
    let member = member_from_registration("storage-1", &fields("10.0.0.1:80", "z"));
    assert_eq!(member.map(|member| member.replica), Some(10));
}

/// Guards against fields of other writers that end up in the list of initial members.
#[rstest]
#[case::no_address("storage-1", "host", "z")]
#[case::blank_in_address("storage-1", "10.0.0.1:80 x", "z")]
#[case::blank_in_zone("storage-1", "10.0.0.1:80", "z 0b")]
#[case::empty_zone("storage-1", "10.0.0.1:80", "")]
#[case::line_end_in_name("storage\r\n", "10.0.0.1:80", "z")]
#[case::long_name(&"s".repeat(9_000), "10.0.0.1:80", "z")]
fn registration_of_another_writer_is_ignored(
    #[case] name: &str,
    #[case] address: &str,
    #[case] zone: &str,
) {
    assert_eq!(member_from_registration(name, &fields(address, zone)), None);
}

use carawaycleat_core::config;
use carawaycleat_core::key;
use carawaycleat_core::name;
use carawaycleat_core::resource;

fn name(text: &str) -> name::Name {
    name::Name::parse(text).expect("a valid name")
}

fn entry(digest: &str, workspace: &str, revision: u64) -> config::Entry {
    let key = resource::Key {
        workspace: name(workspace),
        digest: digest.to_owned(),
    };
    config::Entry {
        revision,
        resource: resource::Resource::Key(key),
    }
}

/// Guards against finding a key of another workspace, also among digests in the same bucket.
#[test]
fn each_key_finds_its_own_workspace() {
    let mut snapshot = config::Snapshot::new(1);
    for number in 0..5_000 {
        let digest = key::Digest::of(&format!("key-{number}")).to_hex();
        let workspace = format!("w{}", number % 7);
        snapshot.insert(
            name(&format!("k{number}")),
            entry(&digest, &workspace, number),
        );
    }
    let known = key::Digest::of("key-11").to_hex();
    for digit in "0123456789abcdef".chars().filter(|d| !known.ends_with(*d)) {
        let near = format!("{}{digit}", &known[..63]);
        snapshot.insert(name(&format!("near-{digit}")), entry(&near, "near", 1));
    }
    let index = key::Index::new(&snapshot);
    for number in 0..5_000 {
        let found = index.find(&key::Digest::of(&format!("key-{number}")));
        let grant = found.expect("a stored key");
        assert_eq!(grant.key, name(&format!("k{number}")));
        assert_eq!(grant.workspace, name(&format!("w{}", number % 7)));
    }
    assert_eq!(index.find(&key::Digest::of("key-5000")), None);
}

/// Guards against a later key taking over the requests of an earlier one with the same digest.
#[test]
fn the_earlier_of_two_equal_digests_is_used() {
    let digest = key::Digest::of("secret").to_hex();
    let snapshot = config::Snapshot::new(1)
        .with(name("a"), entry(&digest, "late", 9))
        .with(name("b"), entry(&digest, "early", 3));
    let index = key::Index::new(&snapshot);
    let grant = index.find(&key::Digest::of("secret")).expect("a grant");
    assert_eq!(grant.workspace, name("early"));
}

#[yare::parameterized(
    empty = { "" },
    short = { "00ff" },
    not_hexadecimal = { "zz00000000000000000000000000000000000000000000000000000000000000" },
    not_ascii = { "éé000000000000000000000000000000000000000000000000000000000000" },
)]
fn a_malformed_digest_is_refused(hex: &str) {
    assert_eq!(key::Digest::parse(hex), Err(key::Error::Format));
}

/// Guards against digests in log lines.
#[test]
fn the_debug_output_omits_the_digest() {
    assert_eq!(format!("{:?}", key::Digest::of("secret")), "Digest(..)");
}

use carawaycleat_core::resource;

#[yare::parameterized(
    zero_rate = { r#"{"kind":"rate","workspace":"w","tokens_per_second":0,"burst_tokens":1}"# },
    short_digest = { r#"{"kind":"key","workspace":"w","digest":"ab"}"# },
    relative_prefix = { r#"{"kind":"route","prefix":"jobs","target":"models"}"# },
    service_without_group = { r#"{"kind":"route","prefix":"/jobs","target":"service"}"# },
    zero_weight = { r#"{"kind":"workspace","weight":0}"# },
    empty_version = { r#"{"kind":"version","model":"m","bytes":0}"# },
)]
fn a_value_out_of_range_is_refused(json: &str) {
    let resource: resource::Resource = serde_json::from_str(json).expect("well formed");
    assert!(resource.validate().is_err());
}

/// Guards against ignoring a misspelt field.
#[test]
fn an_unknown_field_is_refused() {
    let json = r#"{"kind":"workspace","wieght":3}"#;
    assert!(serde_json::from_str::<resource::Resource>(json).is_err());
}

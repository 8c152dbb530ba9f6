//! Encodings of field values of the JSON gateway.

/// 64-bit numbers as strings; plain numbers are accepted too, as the gateway does.
pub(super) mod int64 {
    use serde::Deserialize as _;

    #[derive(serde::Deserialize)]
    #[serde(untagged)]
    enum Form {
        Number(i64),
        Text(String),
    }

    #[expect(
        clippy::trivially_copy_pass_by_ref,
        reason = "serde passes a reference"
    )]
    pub(in crate::store) fn is_zero(number: &i64) -> bool {
        *number == 0
    }

    #[expect(
        clippy::trivially_copy_pass_by_ref,
        reason = "serde passes a reference"
    )]
    pub(in crate::store) fn serialize<S: serde::Serializer>(
        number: &i64,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        serializer.collect_str(number)
    }

    pub(in crate::store) fn deserialize<'de, D: serde::Deserializer<'de>>(
        deserializer: D,
    ) -> Result<i64, D::Error> {
        match Form::deserialize(deserializer)? {
            Form::Number(number) => Ok(number),
            Form::Text(text) => text.parse().map_err(serde::de::Error::custom),
        }
    }
}

/// Bytes in base64.
pub(super) mod base64_bytes {
    use base64::Engine as _;
    use serde::Deserialize as _;

    pub(in crate::store) fn serialize<S: serde::Serializer>(
        bytes: &[u8],
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&base64::engine::general_purpose::STANDARD.encode(bytes))
    }

    pub(in crate::store) fn deserialize<'de, D: serde::Deserializer<'de>>(
        deserializer: D,
    ) -> Result<Vec<u8>, D::Error> {
        let text = String::deserialize(deserializer)?;
        base64::engine::general_purpose::STANDARD
            .decode(text)
            .map_err(serde::de::Error::custom)
    }
}

//! Formatting of output.

use std::io;

use carawaycleat_core::resource;

use super::response;

/// Writes `value` as one line of JSON.
pub(super) fn json(out: &mut dyn io::Write, value: &impl serde::Serialize) -> super::Result<()> {
    let line = serde_json::to_string(value)?;
    writeln!(out, "{line}")?;
    out.flush()?;
    Ok(())
}

/// Formats `resource` as a TOML table of a resource file.
pub(super) fn table(name: &str, resource: &resource::Resource) -> super::Result<String> {
    let mut fields = toml::Table::new();
    if let serde_json::Value::Object(object) = serde_json::to_value(resource)? {
        for (key, value) in object
            .into_iter()
            .filter(|(key, value)| key != "kind" && !value.is_null())
        {
            let value = toml::Value::try_from(value)
                .map_err(|e| super::Error::InvalidResponse(e.to_string()))?;
            fields.insert(key, value);
        }
    }
    Ok(format!(
        "[[{}]]\nname = \"{name}\"\n{fields}",
        resource.kind()
    ))
}

/// Describes how many entry hosts have applied a write.
pub(super) fn progress(status: u16, written: &response::Written) -> String {
    let revision = written.revision;
    let (applied, hosts) = (written.applied, written.hosts);
    if status == 202 {
        format!(
            "revision {revision}, stored; applied by {applied} of {hosts} entry hosts so far, the rest will follow"
        )
    } else {
        format!("revision {revision}, applied by {applied} of {hosts} entry hosts")
    }
}

/// Formats a time in milliseconds since the Unix epoch as an RFC 3339 timestamp in UTC.
pub(super) fn utc(wall_ms: u64) -> String {
    let (days, ms) = (wall_ms / 86_400_000, wall_ms % 86_400_000);
    let (year, month, day) = civil_date(days);
    let (hour, minute) = (ms / 3_600_000, ms / 60_000 % 60);
    let (second, milli) = (ms / 1_000 % 60, ms % 1_000);
    format!("{year:04}-{month:02}-{day:02}T{hour:02}:{minute:02}:{second:02}.{milli:03}Z")
}

/// Returns the Gregorian year, month and day that is `days` after 1970-01-01.
///
/// Years are counted from March, so that the leap day is the last day of a year; 146097 days are 400 years.
fn civil_date(days: u64) -> (u64, u64, u64) {
    let days = days + 719_468;
    let (era, day_of_era) = (days / 146_097, days % 146_097);
    let year_of_era =
        (day_of_era - day_of_era / 1_460 + day_of_era / 36_524 - day_of_era / 146_096) / 365;
    let day_of_year = day_of_era - (365 * year_of_era + year_of_era / 4 - year_of_era / 100);
    let month_from_march = (5 * day_of_year + 2) / 153;
    let day = day_of_year - (153 * month_from_march + 2) / 5 + 1;
    let month = if month_from_march < 10 {
        month_from_march + 3
    } else {
        month_from_march - 9
    };
    let year = era * 400 + year_of_era + u64::from(month <= 2);
    (year, month, day)
}

//! The report for people.

use std::fmt;

use super::report;

impl fmt::Display for report::Report {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            formatter,
            "{:<16} {:>7} {:>8} {:>7} {:>7} {:>7} {:>6} {:>5} {:>5} {:>10} {:>10} {:>9} {:>9} {:>9} {:>9}",
            "workspace",
            "sent",
            "attained",
            "part",
            "in rate",
            "refused",
            "within",
            "cut",
            "wrong",
            "tokens",
            "allowed",
            "first p50",
            "first p95",
            "first p99",
            "gap p95",
        )?;
        for summary in self.workspaces.iter().chain([&self.total]) {
            row(formatter, summary)?;
        }
        for summary in &self.workspaces {
            details(formatter, summary)?;
        }
        self.footer(formatter)
    }
}

fn row(formatter: &mut fmt::Formatter<'_>, summary: &report::Summary) -> fmt::Result {
    let allowed = summary.tokens_allowed;
    let allowed = allowed.map_or_else(|| "-".to_owned(), |tokens| format!("{tokens:.0}"));
    writeln!(
        formatter,
        "{:<16} {:>7} {:>8} {:>7.4} {:>7.4} {:>7} {:>6} {:>5} {:>5} {:>10.0} {:>10} {:>9.1} {:>9.1} {:>9.1} {:>9.1}{}",
        summary.name,
        summary.sent,
        summary.attained,
        summary.attainment,
        summary.attainment_within_rate,
        summary.refused.values().sum::<u64>(),
        summary.refused_within_rate,
        summary.cut,
        summary.wrong,
        summary.tokens_admitted,
        allowed,
        summary.first_token_ms.p50,
        summary.first_token_ms.p95,
        summary.first_token_ms.p99,
        summary.gap_ms.p95,
        if summary.exceeds_rate {
            "  EXCEEDS ITS RATE"
        } else {
            ""
        },
    )
}

fn details(formatter: &mut fmt::Formatter<'_>, summary: &report::Summary) -> fmt::Result {
    for (class, counts) in &summary.classes {
        let (class, attained, sent) = (class.as_str(), counts.attained, counts.sent);
        writeln!(
            formatter,
            "{}: {class}: {attained} of {sent} attained",
            summary.name
        )?;
    }
    for (code, count) in &summary.refused {
        writeln!(formatter, "{}: refused {code}: {count}", summary.name)?;
    }
    if summary.refused_within_rate_warming_up > 0 {
        let (name, count) = (&summary.name, summary.refused_within_rate_warming_up);
        writeln!(
            formatter,
            "{name}: refused within the rate while warming up: {count}"
        )?;
    }
    Ok(())
}

impl report::Report {
    fn footer(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(formatter, "elapsed: {:.1} s", self.elapsed_s)?;
        writeln!(
            formatter,
            "late starts, p99: {:.1} ms",
            self.lateness_ms.p99
        )?;
        if let Some(ratio) = self.worst_to_best {
            writeln!(
                formatter,
                "worst-served to best-served workspace: {ratio:.3}"
            )?;
        }
        if let (Some(count), Some(each)) = (self.accelerators, self.attained_per_accelerator) {
            writeln!(
                formatter,
                "attained a second per accelerator: {each:.3} on {count}"
            )?;
        }
        if self.repeated > 0 {
            let (sent, refused) = (self.repeated, self.repeated_refused);
            writeln!(
                formatter,
                "repetitions: {sent}, refused as duplicates: {refused}"
            )?;
        }
        let observed = &self.observed;
        if let (Some(count), Some(doubled)) = (observed.executions, &observed.doubled) {
            writeln!(formatter, "executions: {count}, doubled: {}", doubled.len())?;
        }
        if let Some(not_run) = &observed.executed_though_not_run {
            writeln!(formatter, "executed though `not_run`: {}", not_run.len())?;
        }
        if let Some(count) = observed.with_authorization {
            writeln!(formatter, "executions that saw a key: {count}")?;
        }
        if let (Some(calls), Some(writes)) = (
            observed.store_calls_per_second,
            observed.store_writes_per_second,
        ) {
            writeln!(
                formatter,
                "store calls a second: {calls:.1}, writes: {writes:.1}"
            )?;
        }
        if let (Some(orders), Some(loads)) = (observed.engine_orders, observed.model_loads) {
            writeln!(
                formatter,
                "engine orders: {orders}, model loads seen: {loads}"
            )?;
        }
        Ok(())
    }
}

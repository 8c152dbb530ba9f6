use carawaycleat::metric;
use carawaycleat_core::name;
use carawaycleat_core::outcome;
use carawaycleat_core::resource;

fn name(text: &str) -> name::Name {
    name::Name::parse(text).expect("a valid name")
}

/// Guards against a name that is invalid or given twice, which would end the daemon at its start.
#[test]
fn all_metrics_can_be_rendered() {
    let entry = metric::Entry::new();
    entry.count_request(Some(resource::Target::Models), 200);
    entry.count_store_call(metric::Call::Transaction, false);
    entry.first_token.observe(0.3);
    entry.set_freshness("outage");
    let text = entry.render();
    for expected in [
        "carawaycleat_entry_requests_total{status=\"200\",target=\"models\"} 1",
        "carawaycleat_entry_store_calls_total{kind=\"transaction\",result=\"failed\"} 1",
        "carawaycleat_entry_first_token_seconds_bucket{le=\"0.35\"} 1",
        "carawaycleat_entry_freshness_state{state=\"fresh\"} 0",
        "carawaycleat_entry_freshness_state{state=\"outage\"} 1",
        "carawaycleat_entry_queue_requests{class=\"batch\"} 0",
    ] {
        assert!(text.contains(expected), "{expected} is missing in {text}");
    }
    let side = metric::Side::new();
    side.count_order("load", metric::Transition::Applied);
    side.memory_total.set(5);
    let text = side.render();
    assert!(text.contains("carawaycleat_side_orders_total{kind=\"load\",state=\"landed\"} 1"));
    assert!(text.contains("carawaycleat_side_memory_total_bytes 5"));
}

/// Guards against a dashboard that misses a reason until it first occurs.
#[test]
fn every_refusal_reason_has_a_series() {
    let text = metric::Entry::new().render();
    for reason in outcome::Reason::ALL {
        let series = format!(
            "carawaycleat_entry_refusals_total{{reason=\"{}\"}} 0",
            reason.as_str()
        );
        assert!(text.contains(&series), "{series} is missing");
    }
}

/// Guards against series for names that are not configured, which would be without bound.
#[test]
fn only_configured_workspaces_have_series() {
    let metrics = metric::Entry::new();
    metrics.set_workspaces([&name("city")]);
    for index in 0..100 {
        metrics.count_tokens(&name(&format!("guess-{index}")), metric::Flow::Admitted, 1);
    }
    metrics.count_tokens(&name("city"), metric::Flow::Lent, 7);
    let text = metrics.render();
    assert!(text.contains("carawaycleat_entry_tokens_total{flow=\"lent\",workspace=\"city\"} 7"));
    assert!(
        text.contains("carawaycleat_entry_tokens_total{flow=\"admitted\",workspace=\"other\"} 100")
    );
    assert!(!text.contains("guess"), "{text}");
    metrics.set_workspaces([]);
    assert!(!metrics.render().contains("city"));
}

/// Guards against a series for each number that a service returns as its status.
#[test]
fn a_status_outside_of_http_shares_a_series() {
    let metrics = metric::Entry::new();
    for status in [0, 99, 600, 65_535] {
        metrics.count_request(None, status);
    }
    let text = metrics.render();
    assert!(
        text.contains("carawaycleat_entry_requests_total{status=\"other\",target=\"none\"} 4"),
        "{text}"
    );
}

/// Guards against a counter that decreases when a ring reports an older total.
#[test]
fn the_dropped_events_never_decrease() {
    let metrics = metric::Entry::new();
    metrics.set_timeline_dropped(5);
    metrics.set_timeline_dropped(3);
    assert!(
        metrics
            .render()
            .contains("carawaycleat_entry_timeline_dropped_events_total 5")
    );
}

use carawaycleat_core::clock;
use carawaycleat_standin::service;

/// Guards against an execution that is not recorded because its answer was lost by a fault.
#[yare::parameterized(
    healthy = { service::Faults::default(), true },
    silent = { service::Faults { silent: true, ..Default::default() }, true },
    cut = { service::Faults { cut_after: Some(3), ..Default::default() }, true },
    refused = { service::Faults { error: Some(500), ..Default::default() }, false },
)]
fn executions_are_recorded(faults: service::Faults, executed: bool) {
    let mut state = service::State::new(faults.clone());
    let now = clock::Instant::from_micros(5);
    let action = state.serve(now, "POST", "/jobs", Some("k-1"), false, b"book");
    assert_eq!(state.executions().len(), usize::from(executed));
    for execution in state.executions() {
        assert_eq!(execution.idempotency_key.as_deref(), Some("k-1"));
        assert_eq!(execution.body, "book");
    }
    match action {
        service::Action::Silent => assert!(faults.silent),
        service::Action::Answer {
            body, cut_after, ..
        } => {
            let whole = service::expected("POST", "/jobs", b"book");
            assert_eq!(body == whole, executed);
            assert_eq!(cut_after, faults.cut_after);
        }
    }
}

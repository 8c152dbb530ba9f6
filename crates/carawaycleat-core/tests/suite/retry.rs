use std::time;

use carawaycleat_core::clock;
use carawaycleat_core::outcome;
use carawaycleat_core::retry;

const OUTCOMES: [outcome::Outcome; 3] = [
    outcome::Outcome::Ran,
    outcome::Outcome::NotRun,
    outcome::Outcome::Unknown,
];

const NOW: clock::Instant = clock::Instant::from_millis(5_000);

fn attempt() -> retry::Attempt {
    retry::Attempt {
        outcome: outcome::Outcome::Unknown,
        reason: outcome::Reason::UpstreamFailed,
        sent: true,
        idempotent: true,
        attempts: 1,
        earlier_outcome: outcome::Outcome::NotRun,
        delivered: 0,
        resumable: false,
        deadline: clock::Instant::from_millis(9_000),
    }
}

/// Returns attempts with all combinations of field values.
fn attempts() -> Vec<retry::Attempt> {
    let mut all = Vec::new();
    for reason in outcome::Reason::ALL {
        for (outcome, earlier_outcome) in OUTCOMES
            .into_iter()
            .flat_map(|one| OUTCOMES.map(|two| (one, two)))
        {
            for bits in 0..64_u32 {
                let bit = |index: u32| bits >> index & 1 == 1;
                all.push(retry::Attempt {
                    outcome,
                    reason,
                    sent: bit(0),
                    idempotent: bit(1),
                    attempts: if bit(2) { 3 } else { 1 },
                    earlier_outcome,
                    delivered: if bit(3) { 7 } else { 0 },
                    resumable: bit(4),
                    deadline: if bit(5) { NOW } else { attempt().deadline },
                });
            }
        }
    }
    all
}

type Decide = fn(&retry::Attempt) -> retry::Action;

/// Returns the number of attempts for which the decision is wrong.
fn count_violations(decide: Decide) -> usize {
    let is_violation = |attempt: &retry::Attempt| {
        // Derived from the fields of the attempt, independently of the implementation.
        let never_ran = attempt.earlier_outcome == outcome::Outcome::NotRun
            && attempt.delivered == 0
            && (attempt.outcome == outcome::Outcome::NotRun
                || attempt.outcome == outcome::Outcome::Unknown && !attempt.sent);
        let is_final = attempt.attempts >= 3 || attempt.deadline <= NOW;
        match decide(attempt) {
            retry::Action::Retry => {
                is_final || attempt.delivered > 0 || !attempt.idempotent && !never_ran
            }
            retry::Action::Resume { position } => {
                is_final
                    || position != attempt.delivered
                    || !attempt.resumable
                    || !attempt.idempotent
            }
            retry::Action::Wait => {
                is_final || attempt.delivered == 0 || !attempt.resumable || !attempt.idempotent
            }
            retry::Action::Fail { outcome, .. } => {
                outcome == outcome::Outcome::NotRun && !never_ran
            }
        }
    };
    attempts()
        .iter()
        .filter(|attempt| is_violation(attempt))
        .count()
}

fn actual(attempt: &retry::Attempt) -> retry::Action {
    retry::decide(NOW, attempt, &mut retry::Budget::default())
}

fn without_budget(attempt: &retry::Attempt) -> retry::Action {
    retry::decide(NOW, attempt, &mut retry::Budget::new(0, 0))
}

fn always(_: &retry::Attempt) -> retry::Action {
    retry::Action::Retry
}

fn trust_last_outcome(attempt: &retry::Attempt) -> retry::Action {
    retry::Action::Fail {
        outcome: attempt.outcome,
        reason: attempt.reason,
    }
}

fn retry_after_first_byte(attempt: &retry::Attempt) -> retry::Action {
    match actual(attempt) {
        retry::Action::Resume { .. } => retry::Action::Retry,
        other => other,
    }
}

/// Guards against running a non-idempotent request twice, delivering tokens twice, and reporting `NotRun` falsely.
#[test]
fn every_decision_is_safe() {
    println!("retry: {} combinations", attempts().len());
    assert_eq!(count_violations(actual), 0);
    assert_eq!(count_violations(without_budget), 0);
    let naive: [(&str, Decide); 3] = [
        ("always", always),
        ("trust the last outcome", trust_last_outcome),
        (
            "from the start after the first byte",
            retry_after_first_byte,
        ),
    ];
    for (rule, decide) in naive {
        let broken = count_violations(decide);
        println!("retry: {broken} violations by the faulty rule: {rule}");
        assert!(broken > 0, "{rule}");
    }
}

#[yare::parameterized(
    idempotent = { attempt(), retry::Action::Retry },
    refused_non_idempotent = { retry::Attempt { idempotent: false, outcome: outcome::Outcome::NotRun,
        reason: outcome::Reason::UpstreamLeaving, ..attempt() }, retry::Action::Retry },
    unsent_non_idempotent = { retry::Attempt { idempotent: false, sent: false, ..attempt() }, retry::Action::Retry },
    sent_non_idempotent = { retry::Attempt { idempotent: false, ..attempt() },
        retry::Action::Fail { outcome: outcome::Outcome::Unknown, reason: outcome::Reason::UpstreamFailed } },
    stream = { retry::Attempt { delivered: 4, resumable: true, ..attempt() }, retry::Action::Resume { position: 4 } },
    invalid = { retry::Attempt { reason: outcome::Reason::InvalidRequest, outcome: outcome::Outcome::NotRun, ..attempt() },
        retry::Action::Fail { outcome: outcome::Outcome::NotRun, reason: outcome::Reason::InvalidRequest } },
)]
fn a_failed_attempt_is_followed_by(attempt: retry::Attempt, expected: retry::Action) {
    assert_eq!(actual(&attempt), expected);
}

/// Guards against retries that multiply an overload, and against counting old retries or requests for ever.
#[test]
fn retries_stay_within_the_budget() {
    let run = |mut budget: retry::Budget| {
        let mut retries: Vec<u64> = Vec::new();
        for millis in (0..60_000).step_by(5) {
            let now = clock::Instant::from_millis(millis);
            budget.record_request(now);
            let mut failed = retry::Attempt {
                deadline: now + time::Duration::from_secs(1),
                ..attempt()
            };
            while retry::decide(now, &failed, &mut budget) == retry::Action::Retry {
                retries.push(millis);
                failed.attempts += 1;
            }
        }
        // The maximum number of retries in any ten seconds, in which there are 2,000 requests.
        let within = |start: u64| {
            retries
                .iter()
                .filter(|millis| (start..start + 10_000).contains(*millis))
                .count()
        };
        (0..50_000).step_by(500).map(within).max().unwrap_or(0)
    };
    let (actual, naive) = (
        run(retry::Budget::default()),
        run(retry::Budget::new(100, 1 << 40)),
    );
    println!("retry budget: at most {actual} retries for 2,000 requests, {naive} without a budget");
    assert!((300..=410).contains(&actual));
    assert!(naive > 3_000);
}

#[yare::parameterized(
    slow = { true, 1, false, 600, true },
    not_idempotent = { false, 1, false, 600, false },
    hedged_already = { true, 2, false, 600, false },
    answered = { true, 1, true, 600, false },
    not_yet_slow = { true, 1, false, 500, false },
)]
fn a_request_is_hedged(
    idempotent: bool,
    running_attempts: u32,
    has_response: bool,
    elapsed_ms: u64,
    expected: bool,
) {
    let sent = clock::Instant::from_millis(1_000);
    let pending = retry::Pending {
        idempotent,
        running_attempts,
        has_response,
        sent,
        first_part_p95: time::Duration::from_millis(500),
        deadline: clock::Instant::from_millis(10_000),
    };
    let now = sent + time::Duration::from_millis(elapsed_ms);
    assert_eq!(
        retry::hedge(now, &pending, &mut retry::Budget::default()),
        expected
    );
    assert!(
        !retry::hedge(now, &pending, &mut retry::Budget::new(0, 0)),
        "an empty budget permits no hedge"
    );
}

//! The whole path (P2, P3, P4, P7).

use carawaycleat_standin::service;

use crate::caller;
use crate::world;

const PROMPT: &str = "Draft the aeration round for Tuesday";
const TOKENS: u32 = 24;

/// Guards against a wrong or short answer on any pair of entry host and sidecar (P2, P7).
#[test]
fn answers_are_whole_through_each_entry_host_and_sidecar() {
    let world = world::World::start(world::Plan::model_per_engine());
    for number in 0..world::ENTRIES {
        let address = world.callers(number);
        for model in 0..2 {
            let right = world::expected(model, PROMPT, TOKENS);
            let streamed = world::chat(1, model, PROMPT, TOKENS, true).stream(address);
            streamed.assert_whole(&right);
            let plain = world::chat(0, model, PROMPT, TOKENS, false).send(address);
            let body = plain.expect("an answer").json();
            assert_eq!(body["choices"][0]["message"]["content"], right.as_str());
        }
        let list = caller::Request::new("GET", "/v1/models")
            .header("authorization", format!("Bearer {}", world::secret(0)))
            .send(address);
        let list = list.expect("an answer").json();
        let models = list["data"].as_array().expect("a list");
        let mut names: Vec<_> = models.iter().filter_map(|m| m["id"].as_str()).collect();
        names.sort_unstable();
        assert_eq!(names, ["model-1", "model-2"]);
        let path = "/catalogue/lawns?page=2";
        let answer = caller::Request::new("GET", path).send(address);
        let answer = answer.expect("an answer");
        assert_eq!(answer.status, 200);
        assert_eq!(answer.body, service::expected("GET", path, b""));
    }
    for number in 0..world::ENGINES {
        let records = world.records(number);
        assert!(
            !records.executions.is_empty(),
            "engine {number} ran nothing"
        );
        assert_eq!(records.overcommits, 0);
    }
}

/// Guards against a key that an upstream, a log or a timeline shows (P4), and against a request without one (P3).
#[test]
fn keys_do_not_leave_the_entry_hosts() {
    let world = world::World::start(world::Plan::default());
    let secret = world::secret(0);
    for number in 0..world::ENTRIES {
        let address = world.callers(number);
        let request = caller::Request::new("GET", "/catalogue/lawns")
            .header("Authorization", format!("Bearer {secret}"));
        assert_eq!(request.send(address).expect("an answer").status, 200);
        let booked = world::book(&format!("job-{number}")).send(address);
        assert_eq!(booked.expect("an answer").status, 200);
        let right = world::expected(0, PROMPT, TOKENS);
        world
            .chat(0, PROMPT, TOKENS)
            .stream(address)
            .assert_whole(&right);
        let unknown = caller::Request::new("POST", "/jobs/book")
            .header("authorization", "Bearer secret-of-nobody")
            .send(address)
            .expect("an answer");
        assert_eq!(
            (unknown.status, unknown.code()),
            (401, "unknown_key".to_owned())
        );
    }
    let executions = world.executions();
    assert_eq!(executions.len(), 2 * world::ENTRIES);
    for execution in &executions {
        assert!(!execution.authorization, "{execution:?}");
        assert!(
            !format!("{execution:?}").contains("secret-of"),
            "{execution:?}"
        );
    }
    let entries = world
        .entries
        .iter()
        .map(|entry| (entry.operators, &entry.process));
    let sides = world.sides.iter().map(|side| (side.address, &side.process));
    for (address, process) in entries.chain(sides) {
        let timeline = caller::Request::new("GET", "/timeline").send(address);
        let timeline = timeline.expect("an answer");
        assert_eq!(timeline.status, 200);
        assert!(timeline.body.len() > 2, "an empty timeline at {address}");
        assert!(!String::from_utf8_lossy(&timeline.body).contains("secret-of"));
        assert!(!process.log().contains("secret-of"));
    }
}

//! The timeline over all processes of a running set-up.

use std::thread;
use std::time;

use carawaycleat::cli;
use carawaycleat_core::timeline;
use carawaycleat_standin::setup;

use crate::metrics;

/// Runs `carawaycleat timeline` for one request, with JSON as output.
async fn timeline(setup: &setup::Setup, request: &str) -> Vec<timeline::Event> {
    let options = cli::Options {
        common: cli::Common {
            servers: vec![setup.entries[0].addresses().operators],
            output: cli::Output::Json,
        },
        command: cli::Command::Timeline {
            local: false,
            filter: timeline::Filter {
                request: Some(request.to_owned()),
                ..timeline::Filter::default()
            },
        },
    };
    // The command blocks its thread, and the set-up must go on meanwhile.
    let (sender, receiver) = async_channel::bounded(1);
    thread::spawn(move || {
        let mut out = Vec::new();
        let result = cli::run(&options, &mut out).map(|()| out);
        sender.send_blocking(result).expect("a waiting test");
    });
    let text = receiver.recv().await.expect("a result");
    let text = text.expect("answers of all processes");
    serde_json::from_slice(&text).expect("events in JSON")
}

/// Guards against a request whose attempts at a sidecar cannot be found by the identifier that its caller got.
#[test]
fn a_request_is_shown_through_entry_host_and_sidecar() {
    metrics::with_setup(setup::Plan::default(), |setup| async move {
        let request = setup.chat(0, 0, "Plan the round", 4, true);
        let (status, headers, _) = metrics::send(&setup, request).await;
        assert_eq!(status, 200);
        let id = headers.get("carawaycleat-request").expect("an identifier");
        let mut events = timeline(&setup, id).await;
        while !events
            .iter()
            .any(|event| event.kind == timeline::Kind::Finished && event.host.as_str() == "entry-1")
        {
            async_io::Timer::after(time::Duration::from_millis(10)).await;
            events = timeline(&setup, id).await;
        }
        let kinds = |is_side: bool| {
            let of_host = events
                .iter()
                .filter(|event| event.host.as_str().starts_with("engine-") == is_side);
            of_host.map(|event| event.kind).collect::<Vec<_>>()
        };
        assert_eq!(
            kinds(true),
            [timeline::Kind::Started, timeline::Kind::Finished]
        );
        assert_eq!(
            kinds(false),
            [
                timeline::Kind::Arrived,
                timeline::Kind::Dispatched,
                timeline::Kind::Started,
                timeline::Kind::FirstToken,
                timeline::Kind::Finished,
            ]
        );
        let end = events.iter().map(|event| event.host.as_str()).next_back();
        assert_eq!(end, Some("entry-1"), "the end at the entry host comes last");
    });
}

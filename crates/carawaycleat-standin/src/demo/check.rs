use std::io;
use std::time;

use carawaycleat_core::resource;
use carawaycleat_net as http;
use carawaycleat_net::sse;

use crate::service;
use crate::setup;

const PROMPT: &str = "Draft the aeration round for Tuesday";
const MAX_TOKENS: u32 = 12;
const MAX_BODY_BYTES: usize = 1 << 20;

/// The time within which a revoked key must stop working.
const REVOKED_WITHIN: time::Duration = time::Duration::from_secs(5);

/// The time between two requests with a revoked key.
const PROBE: time::Duration = time::Duration::from_millis(50);

/// Sends one round of requests and checks each answer.
pub(super) async fn round(setup: &setup::Setup, out: &mut impl io::Write) -> super::Result<()> {
    for model in 0..setup.plan.models {
        let entry = model % setup.plan.entries;
        let text = streamed(setup, entry, model).await?;
        writeln!(
            out,
            "model-{} by entry-{}, streamed:{text}",
            model + 1,
            entry + 1
        )?;
    }
    let text = whole(setup).await?;
    writeln!(out, "model-1 in one body:{text}")?;
    booking(setup, out).await?;
    revoked(setup, out).await
}

async fn streamed(setup: &setup::Setup, entry: usize, model: usize) -> super::Result<String> {
    let reply = setup
        .send(entry, setup.chat(0, model, PROMPT, MAX_TOKENS, true))
        .await?;
    let status = reply.status;
    let bytes = reply.bytes(MAX_BODY_BYTES).await?;
    let (text, is_complete) = text_of(&bytes)?;
    let expected = setup.expected(model, PROMPT, MAX_TOKENS);
    if status != 200 || !is_complete || text != expected {
        let body = String::from_utf8_lossy(&bytes);
        return Err(super::Error::Wrong(format!(
            "model-{} answered {status}: {body}",
            model + 1
        )));
    }
    Ok(text)
}

/// Returns the text of a stream, and whether it ended with `[DONE]`.
fn text_of(bytes: &[u8]) -> super::Result<(String, bool)> {
    let mut decoder = sse::Decoder::default();
    decoder.push(bytes);
    let mut text = String::new();
    while let Some(event) = decoder.next_event()? {
        if event.data == "[DONE]" {
            return Ok((text, true));
        }
        let body: serde_json::Value = serde_json::from_str(&event.data).unwrap_or_default();
        text.push_str(
            body["choices"][0]["delta"]["content"]
                .as_str()
                .unwrap_or_default(),
        );
    }
    Ok((text, false))
}

async fn whole(setup: &setup::Setup) -> super::Result<String> {
    let reply = setup
        .send(0, setup.chat(1, 0, PROMPT, MAX_TOKENS, false))
        .await?;
    let bytes = reply.bytes(MAX_BODY_BYTES).await?;
    let body: serde_json::Value = serde_json::from_slice(&bytes).unwrap_or_default();
    match body["choices"][0]["message"]["content"].as_str() {
        Some(text) if text == setup.expected(0, PROMPT, MAX_TOKENS) => Ok(text.to_owned()),
        _ => Err(super::Error::Wrong(format!(
            "not the answer: {}",
            String::from_utf8_lossy(&bytes)
        ))),
    }
}

/// Books a job twice with one idempotency key, through two entry hosts.
async fn booking(setup: &setup::Setup, out: &mut impl io::Write) -> super::Result<()> {
    let body = br#"{"lawn":"north field","day":"Tuesday"}"#;
    let book = || {
        http::Request::new("POST", "/jobs/book")
            .header("authorization", format!("Bearer {}", setup.secret(0)))
            .header("idempotency-key", "demo-booking-1")
            .body(body.to_vec())
    };
    let first = setup.send(0, book()).await?;
    let status = first.status;
    let bytes = first.bytes(MAX_BODY_BYTES).await?;
    if status != 200 || bytes != service::expected("POST", "/jobs/book", body) {
        let answer = String::from_utf8_lossy(&bytes);
        return Err(super::Error::Wrong(format!(
            "the booking answered {status}: {answer}"
        )));
    }
    let second = setup.send(setup.plan.entries - 1, book()).await?;
    let executions: usize = setup
        .backends
        .iter()
        .map(|b| b.service.with(|state, _| state.executions().len()))
        .sum();
    if second.status != 409 || executions != 1 {
        let message = format!(
            "the repeat answered {}, {executions} executions",
            second.status
        );
        return Err(super::Error::Wrong(message));
    }
    writeln!(
        out,
        "booking: ran once; its repeat at another entry host was refused with 409"
    )?;
    Ok(())
}

/// Revokes a key and waits until no entry host accepts it.
async fn revoked(setup: &setup::Setup, out: &mut impl io::Write) -> super::Result<()> {
    setup.delete(resource::Kind::Key, "key-2").await?;
    let deleted = time::Instant::now();
    for entry in 0..setup.plan.entries {
        loop {
            let reply = setup
                .send(entry, setup.chat(1, 0, PROMPT, 1, false))
                .await?;
            if reply.status == 401 {
                break;
            }
            if deleted.elapsed() > REVOKED_WITHIN {
                let message = format!("entry-{} still accepts a revoked key", entry + 1);
                return Err(super::Error::Wrong(message));
            }
            async_io::Timer::after(PROBE).await;
        }
    }
    let millis = deleted.elapsed().as_millis();
    writeln!(
        out,
        "revoked key: refused by each entry host after {millis} ms"
    )?;
    Ok(())
}

use std::sync;

use carawaycleat_core::entry;
use carawaycleat_core::rate;
use carawaycleat_store as store;

use super::context;
use crate::metric;

/// Writes or reads shards in the store and passes the result to the reducer.
pub(super) async fn perform(context: sync::Arc<context::Context>, effect: rate::Effect) {
    match effect {
        rate::Effect::Write(write) => {
            let response = commit(&context, &write).await;
            context.step(entry::Event::ShardsWritten(write.id, response));
        }
        rate::Effect::Read(numbers) => {
            let mut records = Vec::new();
            for number in numbers {
                records.extend(read(&context, number).await);
            }
            context.step(entry::Event::ShardsRead(records));
        }
    }
}

async fn commit(context: &context::Context, write: &rate::Write) -> rate::Outcome {
    let mut transaction = store::Transaction::new();
    for put in &write.puts {
        let key = rate::shard_key(put.number);
        let condition = match put.expected_revision {
            0 => store::Condition::Absent(key.clone()),
            revision => store::Condition::Modified(key.clone(), revision),
        };
        let value =
            serde_json::to_vec(&put.shard).expect("a record can always be written to memory");
        transaction = transaction
            .when(condition)
            .write(store::Write::put(key, value));
    }
    let response = context.store.commit(&transaction).await;
    context
        .metric
        .count_store_call(metric::Call::Transaction, response.is_ok());
    match response {
        Ok(response) if response.succeeded => rate::Outcome::Written(response.revision),
        Ok(_) => rate::Outcome::Rejected,
        Err(error) if error.may_have_run() => rate::Outcome::Unknown,
        Err(_) => rate::Outcome::Rejected,
    }
}

async fn read(context: &context::Context, number: u32) -> Option<rate::Observation> {
    let response = context.store.get(&rate::shard_key(number)).await;
    context
        .metric
        .count_store_call(metric::Call::Range, response.is_ok());
    let pair = response.ok()?.pairs.pop();
    let Some(pair) = pair else {
        return Some(rate::Observation {
            number,
            shard: None,
            revision: 0,
        });
    };
    let shard = serde_json::from_slice(&pair.value).ok()?;
    Some(rate::Observation {
        number,
        shard: Some(shard),
        revision: pair.mod_revision,
    })
}

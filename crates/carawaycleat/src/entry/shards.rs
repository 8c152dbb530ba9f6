use std::sync;

use carawaycleat_core::entry;
use carawaycleat_core::rate;
use carawaycleat_store as store;

use super::shared;
use crate::metric;

/// Writes or reads shards in the store, and gives the result to the reducer.
pub(super) async fn perform(shared: sync::Arc<shared::Shared>, effect: rate::Effect) {
    match effect {
        rate::Effect::Write(write) => {
            let answer = commit(&shared, &write).await;
            shared.step(entry::Event::ShardsWritten(write.id, answer));
        }
        rate::Effect::Read(numbers) => {
            let mut records = Vec::new();
            for number in numbers {
                records.extend(read(&shared, number).await);
            }
            shared.step(entry::Event::ShardsRead(records));
        }
    }
}

async fn commit(shared: &shared::Shared, write: &rate::Write) -> rate::Outcome {
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
    let answer = shared.store.commit(&transaction).await;
    shared
        .metric
        .count_store_call(metric::Call::Transaction, answer.is_ok());
    match answer {
        Ok(answer) if answer.succeeded => rate::Outcome::Written(answer.revision),
        Ok(_) => rate::Outcome::Rejected,
        Err(error) if error.may_have_run() => rate::Outcome::Unknown,
        Err(_) => rate::Outcome::Rejected,
    }
}

async fn read(shared: &shared::Shared, number: u32) -> Option<rate::Observation> {
    let answer = shared.store.get(&rate::shard_key(number)).await;
    shared
        .metric
        .count_store_call(metric::Call::Range, answer.is_ok());
    let pair = answer.ok()?.pairs.pop();
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

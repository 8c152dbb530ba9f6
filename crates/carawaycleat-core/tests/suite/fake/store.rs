use carawaycleat_core::claim;

/// A fault of one call to the store.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Fault {
    /// The call has no effect and no response.
    Down,
    /// The call takes effect, and the response is lost.
    ResponseLost,
    /// The call takes effect some seconds later, and has no response.
    Late,
}

impl Fault {
    pub(crate) const ALL: [Self; 3] = [Self::Down, Self::ResponseLost, Self::Late];
}

/// A fake store for the record of one key, with conditional writes. One step takes a second.
#[derive(Debug, Default)]
pub(crate) struct Store {
    pub(crate) record: Option<(claim::Record, u64)>,
    revision: u64,
    step: u64,
    delayed: Vec<(u64, claim::Action)>,
}

impl Store {
    pub(crate) fn step(&mut self) {
        self.step += 1;
        let due: Vec<_> = self
            .delayed
            .extract_if(.., |(at, _)| *at <= self.step)
            .collect();
        for (_, call) in due {
            self.apply(&call);
        }
    }

    pub(crate) fn call(&mut self, call: &claim::Action, fault: Option<Fault>) -> claim::Event {
        match fault {
            Some(Fault::Down) => return claim::Event::NoResponse,
            Some(Fault::Late) => self.delayed.push((self.step + 7, call.clone())),
            _ => {
                let event = self.apply(call);
                if fault.is_none() {
                    return event;
                }
            }
        }
        claim::Event::NoResponse
    }

    fn apply(&mut self, call: &claim::Action) -> claim::Event {
        let current = self.record.as_ref().map(|(_, revision)| *revision);
        let is_condition_met = match call {
            claim::Action::Create(_) => current.is_none(),
            claim::Action::Replace(_, revision) | claim::Action::Delete(revision) => {
                current == Some(*revision)
            }
            _ => false,
        };
        if is_condition_met {
            self.revision += 1;
            self.record = match call {
                claim::Action::Create(record) | claim::Action::Replace(record, _) => {
                    Some((record.clone(), self.revision))
                }
                _ => None,
            };
            return claim::Event::Written(self.revision);
        }
        match &self.record {
            Some((record, revision)) => claim::Event::Found(record.clone(), *revision),
            None => claim::Event::Absent,
        }
    }
}

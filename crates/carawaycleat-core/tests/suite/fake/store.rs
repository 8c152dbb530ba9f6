use carawaycleat_core::claim;

/// What goes wrong with one call to the store.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Fault {
    /// The call has no effect and no answer.
    Down,
    /// The call takes effect and the answer is lost.
    AnswerLost,
    /// The call takes effect some seconds later and has no answer.
    Late,
}

impl Fault {
    pub(crate) const ALL: [Self; 3] = [Self::Down, Self::AnswerLost, Self::Late];
}

/// The record of one key, with compare-and-swap; one step is a second.
#[derive(Debug, Default)]
pub(crate) struct Store {
    pub(crate) record: Option<(claim::Record, u64)>,
    revision: u64,
    step: u64,
    late: Vec<(u64, claim::Action)>,
}

impl Store {
    pub(crate) fn step(&mut self) {
        self.step += 1;
        let due: Vec<_> = self
            .late
            .extract_if(.., |(at, _)| *at <= self.step)
            .collect();
        for (_, call) in due {
            self.apply(&call);
        }
    }

    pub(crate) fn call(&mut self, call: &claim::Action, fault: Option<Fault>) -> claim::Event {
        match fault {
            Some(Fault::Down) => return claim::Event::NoResponse,
            Some(Fault::Late) => self.late.push((self.step + 7, call.clone())),
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
        let is_met = match call {
            claim::Action::Create(_) => current.is_none(),
            claim::Action::Replace(_, revision) | claim::Action::Delete(revision) => {
                current == Some(*revision)
            }
            _ => false,
        };
        if is_met {
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

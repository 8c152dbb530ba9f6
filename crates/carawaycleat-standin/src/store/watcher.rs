use super::message;
use super::space;

/// The position of one watch.
#[derive(Clone, Debug)]
pub struct Watcher {
    range: message::Range,
    next: i64,
}

impl Watcher {
    /// Returns a watch of `create` on `space`, with its first message.
    pub fn open(space: &space::Space, create: &message::Create) -> (Self, message::Notice) {
        let next = if create.start_revision > 0 {
            create.start_revision
        } else {
            space.revision() + 1
        };
        let watcher = Self {
            range: create.range.clone(),
            next,
        };
        let notice = message::Notice {
            created: true,
            ..progress(space)
        };
        (watcher, notice)
    }

    /// Returns the message with the changes since the last call, if there are any.
    ///
    /// A watch whose start is compacted gets one message with `canceled`, after which it must be closed.
    pub fn poll(&mut self, space: &space::Space) -> Option<message::Notice> {
        if self.next > space.revision() {
            return None;
        }
        match space.changes(&self.range, self.next) {
            Ok(events) => {
                self.next = space.revision() + 1;
                (!events.is_empty()).then(|| message::Notice {
                    events,
                    ..progress(space)
                })
            }
            Err(error) => Some(message::Notice {
                canceled: true,
                compact_revision: match error {
                    super::Error::Compacted(revision) => revision,
                    _ => 0,
                },
                cancel_reason: error.to_string(),
                ..progress(space)
            }),
        }
    }

    /// Returns a progress notification, which has no changes.
    pub fn progress(&self, space: &space::Space) -> message::Notice {
        progress(space)
    }
}

fn progress(space: &space::Space) -> message::Notice {
    message::Notice {
        header: space.header(),
        created: false,
        canceled: false,
        compact_revision: 0,
        cancel_reason: String::new(),
        events: Vec::new(),
    }
}

use super::text;

/// A request for tokens.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Request {
    /// The id that the caller gave, repeated in the answer.
    pub id: String,
    /// The model.
    pub model: String,
    /// The adapter.
    pub adapter: Option<String>,
    /// The prompt.
    pub prompt: String,
    /// The tokens of the whole answer, those already produced included.
    pub max_tokens: u32,
    /// The priority: 0 live, 1 short, 2 batch.
    pub priority: u8,
    /// The tokens already produced elsewhere.
    pub resume_at: u32,
    /// The text of the tokens already produced; when absent, the prompt ends with it.
    pub resume_text: Option<String>,
}

impl Request {
    /// Takes the produced text off the prompt, and checks that it is the start of this request's answer.
    ///
    /// # Errors
    ///
    /// Returns an error when it is not.
    pub(super) fn normalize(mut self) -> super::Result<Self> {
        if self.resume_at == 0 {
            return Ok(self);
        }
        let produced = match self.resume_text.take() {
            Some(text) => text,
            None => {
                let start = (0..self.resume_at)
                    .try_fold(self.prompt.len(), |end, _| self.prompt[..end].rfind(' '));
                let start = start.ok_or(super::Error::ResumeMismatch)?;
                self.prompt.split_off(start)
            }
        };
        let adapter = self.adapter.as_deref();
        let expected = text::expected(&self.model, adapter, &self.prompt, self.resume_at);
        if produced != expected.concat() {
            return Err(super::Error::ResumeMismatch);
        }
        Ok(self)
    }
}

/// The record of one accepted request.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(serde::Deserialize, serde::Serialize)]
pub struct Execution {
    /// The id that the caller gave.
    pub id: String,
    /// The model.
    pub model: String,
    /// The position of the first token.
    pub resume_at: u32,
    /// The prompt tokens found in the prefix cache.
    pub cached_tokens: usize,
    /// The tokens produced here.
    pub produced: u32,
    /// Whether the answer ended.
    pub ended: bool,
    /// Whether the caller cancelled it.
    pub cancelled: bool,
}

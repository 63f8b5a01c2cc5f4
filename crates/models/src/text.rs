//! Generated text that can be checked.
//!
//! A token is a function of the prompt, the seed, its position and the weight
//! version: `ab12.7 ` is the hash `ab12` from version 7. So whoever reads an
//! answer can tell whether it is whole, whether it belongs to the prompt, and
//! which version produced each token, whatever the system claims.

use peatgrade_schema::peer::Span;
use peatgrade_types::{hash_bytes, hash_pair};

/// Shape of the long tail of lengths.
const TAIL: f64 = 0.75;

/// What a prompt leads to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Expected {
    key: u64,
    /// Tokens of the whole answer.
    pub length: u32,
}

/// What `prompt` with `seed` leads to. Lengths have a long tail: the median is
/// 1.7 times `shortest`, and one in a hundred is over 30 times it.
pub fn expected(prompt: &str, seed: u64, shortest: u32, max_tokens: u32) -> Expected {
    let key = hash_pair(hash_bytes(prompt.as_bytes()), seed);
    let uniform = (hash_pair(key, 1) >> 11) as f64 / (1u64 << 53) as f64;
    let stretched = f64::from(shortest) * (1.0 / (1.0 - uniform)).powf(TAIL);
    Expected {
        key,
        length: (stretched as u32).clamp(1, max_tokens),
    }
}

impl Expected {
    fn word(&self, position: u32) -> u16 {
        hash_pair(self.key, u64::from(position) + 16) as u16
    }

    /// The token at a position when `weights` generate it.
    pub fn token(&self, position: u32, weights: u64) -> String {
        format!("{:04x}.{weights} ", self.word(position))
    }
}

/// Why a text is not the answer it should be.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum TextError {
    /// It has another number of tokens.
    #[error("{found} tokens instead of {expected}")]
    Length {
        /// Tokens found.
        found: u32,
        /// Tokens expected.
        expected: u32,
    },
    /// A token does not belong to the prompt.
    #[error("token {position} is {found:?}")]
    Foreign {
        /// Its place.
        position: u32,
        /// The token.
        found: String,
    },
}

/// Checks that a text is the whole answer, and tells which versions truly
/// produced it.
pub fn check(text: &str, expected: &Expected) -> Result<Vec<Span>, TextError> {
    let mut spans: Vec<Span> = Vec::new();
    let mut position = 0;
    for token in text.split_terminator(' ') {
        let foreign = || TextError::Foreign {
            position,
            found: token.to_string(),
        };
        let (word, version) = token.split_once('.').ok_or_else(foreign)?;
        let weights: u64 = version.parse().map_err(|_| foreign())?;
        if word != format!("{:04x}", expected.word(position)) {
            return Err(foreign());
        }
        match spans.last_mut() {
            Some(last) if last.weights == weights => last.tokens += 1,
            _ => spans.push(Span { weights, tokens: 1 }),
        }
        position += 1;
    }
    if position != expected.length {
        return Err(TextError::Length {
            found: position,
            expected: expected.length,
        });
    }
    Ok(spans)
}

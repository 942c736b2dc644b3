//! Token scan of a text: kind tag, fingerprint, and words that indicate session state.

use {
    crate::names::SharedName,
    foldhash::fast::FixedState,
    sqlparser::{
        dialect::PostgreSqlDialect,
        tokenizer::{Token, TokenWithSpan, Tokenizer, Whitespace},
    },
    std::hash::{BuildHasher, Hasher},
};

/// Hash seed of fingerprints; it is fixed because all hosts must compute equal fingerprints.
const FINGERPRINT_SEED: u64 = 0x6261_6e79_616e;

/// Number of leading bytes that the fingerprint of a text without tokens covers.
const RAW_FINGERPRINT_BYTES: usize = 64;

/// Maximum length of a kind name in a tag, in bytes.
const KIND_LIMIT: usize = 64;

/// Words that indicate state that outlives a transaction, for text that is not parsed and for
/// several statements in one text.
const STATE_WORDS: [&str; 12] = [
    "declare",
    "discard",
    "execute",
    "hold",
    "listen",
    "load",
    "prepare",
    "reset",
    "set_config",
    "temp",
    "temporary",
    "unlisten",
];

/// Tokens of a text and what the classification derives from them.
pub(super) struct TokenScan {
    pub(super) tokens: Vec<TokenWithSpan>,
    /// Keywords and identifiers in order; in lower case unless quoted.
    pub(super) words: Vec<String>,
    /// Whether there are only comments, white space and semicolons.
    pub(super) blank: bool,
    pub(super) kind: Option<SharedName>,
    pub(super) fingerprint: u64,
}

/// Tokenizes a text, or returns `None` if it cannot be tokenized.
pub(super) fn scan(text: &str) -> Option<TokenScan> {
    let tokens = Tokenizer::new(&PostgreSqlDialect {}, text).tokenize_with_location().ok()?;
    let mut hasher = FixedState::with_seed(FINGERPRINT_SEED).build_hasher();
    let mut words = Vec::new();
    let mut blank = true;
    let mut kind = None;
    let mut after_literal = false;
    for token in &tokens {
        match &token.token {
            Token::Whitespace(Whitespace::MultiLineComment(comment)) => {
                if kind.is_none() {
                    kind = kind_tag(comment);
                }
            }
            Token::Whitespace(_) | Token::EOF | Token::SemiColon => {}
            Token::Word(word) => {
                blank = false;
                after_literal = false;
                let mut name = word.value.clone();
                if word.quote_style.is_none() {
                    name.make_ascii_lowercase();
                }
                hasher.write(name.as_bytes());
                hasher.write_u8(0);
                words.push(name);
            }
            // Lists of literals have the same fingerprint whatever their length.
            Token::Comma if after_literal => {}
            token if is_literal(token) => {
                blank = false;
                if !after_literal {
                    hasher.write_u8(b'?');
                }
                after_literal = true;
            }
            token => {
                blank = false;
                after_literal = false;
                hasher.write(token.to_string().as_bytes());
                hasher.write_u8(0);
            }
        }
    }
    Some(TokenScan { words, blank, kind, fingerprint: hasher.finish(), tokens })
}

/// Returns the fingerprint of a text that was not or cannot be tokenized, from its first bytes.
pub(super) fn raw_fingerprint(text: &str) -> u64 {
    let bytes = text.as_bytes();
    FixedState::with_seed(FINGERPRINT_SEED)
        .hash_one(&bytes[..bytes.len().min(RAW_FINGERPRINT_BYTES)])
}

/// Returns the kind from a tag at the beginning of a text, before any token.
pub(super) fn leading_kind(text: &str) -> Option<SharedName> {
    let (comment, _) = text.trim_start().strip_prefix("/*")?.split_once("*/")?;
    kind_tag(comment)
}

/// Returns whether a text contains a word that indicates session state, also in literals and
/// comments.
pub(super) fn mentions_state_words(text: &str) -> bool {
    let is_separator = |byte: &u8| !byte.is_ascii_alphanumeric() && *byte != b'_';
    for word in text.as_bytes().split(is_separator) {
        let known = |state: &&str| word.eq_ignore_ascii_case(state.as_bytes());
        let lock = word.len() > 11 && word[..3].eq_ignore_ascii_case(b"pg_");
        if STATE_WORDS.iter().any(known) || word.eq_ignore_ascii_case(b"set") {
            return true;
        }
        if lock && str::from_utf8(word).is_ok_and(super::pure::is_session_function) {
            return true;
        }
    }
    false
}

/// Returns whether any of the words indicates state that outlives a transaction.
pub(super) fn mentions_session_state(words: &[String]) -> bool {
    if words.first().is_some_and(|word| word == "set") {
        return true;
    }
    words
        .iter()
        .any(|word| STATE_WORDS.contains(&word.as_str()) || super::pure::is_session_function(word))
}

const fn is_literal(token: &Token) -> bool {
    matches!(
        token,
        Token::Number(..)
            | Token::SingleQuotedString(_)
            | Token::DollarQuotedString(_)
            | Token::SingleQuotedByteStringLiteral(_)
            | Token::NationalStringLiteral(_)
            | Token::EscapedStringLiteral(_)
            | Token::UnicodeStringLiteral(_)
            | Token::HexStringLiteral(_)
    )
}

fn kind_tag(comment: &str) -> Option<SharedName> {
    let name = comment.trim().strip_prefix("kind=")?.trim();
    let valid = |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.');
    let fits = !name.is_empty() && name.len() <= KIND_LIMIT && name.bytes().all(valid);
    fits.then(|| SharedName::from(name))
}

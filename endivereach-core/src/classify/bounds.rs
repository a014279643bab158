//! Limits on input text that prevent stack overflow when its syntax tree is built, visited or
//! dropped.

use sqlparser::keywords::Keyword;
use sqlparser::tokenizer::Token;

/// The maximum size of a text that is parsed, in bytes.
pub const SQL_MAX_BYTES: usize = 256 * 1024;

/// The maximum nesting depth of parentheses, brackets and braces.
pub const NESTING_MAX: usize = 64;

/// The maximum number of operators and keywords without a comma between them at one nesting level.
///
/// The parser may add one level to the syntax tree for each of them. It is also the maximum number
/// of set operations in the whole text.
pub const CHAIN_MAX: usize = 512;

/// Returns whether the depth of the syntax tree of `tokens` is limited by [`NESTING_MAX`] and
/// [`CHAIN_MAX`].
///
/// The parser's own recursion limit isn't enough: it parses a chain such as `1 + 1 + 1` in a loop,
/// but the resulting tree is as deep as the chain is long.
pub(crate) fn is_depth_within_limits(tokens: &[Token]) -> bool {
    let mut chain_lengths = vec![0usize];
    let mut set_operations = 0usize;
    for token in tokens {
        match token {
            Token::LParen | Token::LBracket | Token::LBrace => chain_lengths.push(0),
            Token::RParen | Token::RBracket | Token::RBrace if chain_lengths.len() > 1 => {
                chain_lengths.pop();
                increment_last(&mut chain_lengths);
            }
            Token::Comma | Token::SemiColon => reset_last(&mut chain_lengths),
            Token::Word(word) => {
                set_operations += usize::from(is_set_operation(word.keyword));
                if word.keyword != Keyword::NoKeyword {
                    increment_last(&mut chain_lengths);
                }
            }
            Token::Whitespace(_) | Token::Number(..) | Token::SingleQuotedString(_) => {}
            _ => increment_last(&mut chain_lengths),
        }
        let current_length = chain_lengths.last().copied().unwrap_or(0);
        if chain_lengths.len() > NESTING_MAX + 1
            || current_length > CHAIN_MAX
            || set_operations > CHAIN_MAX
        {
            return false;
        }
    }
    true
}

fn increment_last(chain_lengths: &mut [usize]) {
    if let Some(last) = chain_lengths.last_mut() {
        *last += 1;
    }
}

fn reset_last(chain_lengths: &mut [usize]) {
    if let Some(last) = chain_lengths.last_mut() {
        *last = 0;
    }
}

/// Returns whether the keyword is a set operation.
///
/// Each set operation adds a level to the syntax tree, also when commas separate them.
fn is_set_operation(keyword: Keyword) -> bool {
    matches!(
        keyword,
        Keyword::UNION | Keyword::EXCEPT | Keyword::INTERSECT | Keyword::MINUS
    )
}

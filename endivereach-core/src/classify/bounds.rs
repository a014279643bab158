//! Bounds that keep the parser, the walk over its tree and the tree's drop within the stack.

use sqlparser::keywords::Keyword;
use sqlparser::tokenizer::Token;

/// The largest text that is parsed, in bytes.
pub const SQL_MAX_BYTES: usize = 256 * 1024;

/// How deeply parentheses and brackets may be nested.
pub const NESTING_MAX: usize = 64;

/// How many operators and keywords may follow each other without a comma at one level of
/// parentheses: the parser builds one level of its tree from each.
pub const CHAIN_MAX: usize = 512;

/// Returns whether the tree built from `tokens` has a bounded depth.
///
/// The parser's own limit counts nested calls only. A chain such as `1 + 1 + 1` is parsed in a loop
/// and yields a tree as deep as the chain is long.
pub(crate) fn depth_is_bounded(tokens: &[Token]) -> bool {
    let mut chains = vec![0usize];
    let mut set_operations = 0usize;
    for token in tokens {
        match token {
            Token::LParen | Token::LBracket | Token::LBrace => chains.push(0),
            Token::RParen | Token::RBracket | Token::RBrace if chains.len() > 1 => {
                chains.pop();
                count_one(&mut chains);
            }
            Token::Comma | Token::SemiColon => reset(&mut chains),
            Token::Word(word) => {
                set_operations += usize::from(is_set_operation(word.keyword));
                if word.keyword != Keyword::NoKeyword {
                    count_one(&mut chains);
                }
            }
            Token::Whitespace(_) | Token::Number(..) | Token::SingleQuotedString(_) => {}
            _ => count_one(&mut chains),
        }
        let longest = chains.last().copied().unwrap_or(0);
        if chains.len() > NESTING_MAX + 1 || longest > CHAIN_MAX || set_operations > CHAIN_MAX {
            return false;
        }
    }
    true
}

fn count_one(chains: &mut [usize]) {
    if let Some(last) = chains.last_mut() {
        *last += 1;
    }
}

fn reset(chains: &mut [usize]) {
    if let Some(last) = chains.last_mut() {
        *last = 0;
    }
}

/// Set operations build one level of the tree each, across commas.
fn is_set_operation(keyword: Keyword) -> bool {
    matches!(
        keyword,
        Keyword::UNION | Keyword::EXCEPT | Keyword::INTERSECT | Keyword::MINUS
    )
}

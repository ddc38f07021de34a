//! A parser for the JSON bodies of the store's calls.

use std::collections::BTreeMap;
use std::iter::Peekable;
use std::str::Chars;

#[derive(Debug, Clone, PartialEq)]
pub enum Value {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Value>),
    Table(BTreeMap<String, Value>),
}

impl Value {
    pub fn parse(text: &str) -> Option<Value> {
        value(&mut text.chars().peekable())
    }

    pub fn get(&self, name: &str) -> Option<&Value> {
        match self {
            Value::Table(table) => table.get(name),
            _ => None,
        }
    }

    pub fn list(&self, name: &str) -> &[Value] {
        match self.get(name) {
            Some(Value::List(list)) => list,
            _ => &[],
        }
    }

    pub fn text(&self, name: &str) -> &str {
        match self.get(name) {
            Some(Value::Text(text)) => text,
            _ => "",
        }
    }

    pub fn number(&self, name: &str) -> u64 {
        match self.get(name) {
            Some(Value::Number(number)) => *number as u64,
            _ => 0,
        }
    }
}

fn skip_space(chars: &mut Peekable<Chars<'_>>) {
    while chars.next_if(|c| c.is_whitespace()).is_some() {}
}

fn value(chars: &mut Peekable<Chars<'_>>) -> Option<Value> {
    skip_space(chars);
    match *chars.peek()? {
        '"' => string(chars).map(Value::Text),
        '{' => table(chars),
        '[' => list(chars),
        _ => scalar(chars),
    }
}

fn scalar(chars: &mut Peekable<Chars<'_>>) -> Option<Value> {
    let mut word = String::new();
    while let Some(c) = chars.next_if(|c| c.is_alphanumeric() || "+-.".contains(*c)) {
        word.push(c);
    }
    match word.as_str() {
        "null" => Some(Value::Null),
        "true" => Some(Value::Bool(true)),
        "false" => Some(Value::Bool(false)),
        number => number.parse().ok().map(Value::Number),
    }
}

fn string(chars: &mut Peekable<Chars<'_>>) -> Option<String> {
    chars.next();
    let mut text = String::new();
    loop {
        match chars.next()? {
            '"' => return Some(text),
            '\\' => match chars.next()? {
                'n' => text.push('\n'),
                't' => text.push('\t'),
                'r' => text.push('\r'),
                'u' => {
                    let digits: String = chars.by_ref().take(4).collect();
                    text.push(char::from_u32(u32::from_str_radix(&digits, 16).ok()?)?);
                }
                other => text.push(other),
            },
            c => text.push(c),
        }
    }
}

fn list(chars: &mut Peekable<Chars<'_>>) -> Option<Value> {
    chars.next();
    let mut values = Vec::new();
    loop {
        skip_space(chars);
        match chars.peek()? {
            ']' => break,
            ',' => {
                chars.next();
            }
            _ => values.push(value(chars)?),
        }
    }
    chars.next();
    Some(Value::List(values))
}

fn table(chars: &mut Peekable<Chars<'_>>) -> Option<Value> {
    chars.next();
    let mut entries = BTreeMap::new();
    loop {
        skip_space(chars);
        match chars.peek()? {
            '}' => break,
            ',' => {
                chars.next();
            }
            _ => {
                let name = string(chars)?;
                skip_space(chars);
                chars.next_if_eq(&':')?;
                entries.insert(name, value(chars)?);
            }
        }
    }
    chars.next();
    Some(Value::Table(entries))
}

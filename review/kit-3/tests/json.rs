//! JSON values, as far as the stand-ins read them.

/// A JSON value.
#[derive(Debug, Clone)]
pub enum Json {
    Null,
    Bool,
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Json> {
        let bytes: Vec<char> = text.chars().collect();
        let mut at = 0;
        Json::value(&bytes, &mut at)
    }

    pub fn skip(bytes: &[char], at: &mut usize) {
        while bytes.get(*at).is_some_and(|it| it.is_whitespace()) {
            *at += 1;
        }
    }

    pub fn value(bytes: &[char], at: &mut usize) -> Option<Json> {
        Json::skip(bytes, at);
        match bytes.get(*at)? {
            '{' => {
                *at += 1;
                let mut rows = Vec::new();
                loop {
                    Json::skip(bytes, at);
                    match bytes.get(*at)? {
                        '}' => {
                            *at += 1;
                            return Some(Json::Table(rows));
                        }
                        ',' => *at += 1,
                        _ => {
                            let Json::Text(key) = Json::value(bytes, at)? else { return None };
                            Json::skip(bytes, at);
                            *at += 1;
                            rows.push((key, Json::value(bytes, at)?));
                        }
                    }
                }
            }
            '[' => {
                *at += 1;
                let mut items = Vec::new();
                loop {
                    Json::skip(bytes, at);
                    match bytes.get(*at)? {
                        ']' => {
                            *at += 1;
                            return Some(Json::List(items));
                        }
                        ',' => *at += 1,
                        _ => items.push(Json::value(bytes, at)?),
                    }
                }
            }
            '"' => {
                *at += 1;
                let mut text = String::new();
                loop {
                    match bytes.get(*at)? {
                        '"' => {
                            *at += 1;
                            return Some(Json::Text(text));
                        }
                        '\\' => {
                            *at += 1;
                            match bytes.get(*at)? {
                                'n' => text.push('\n'),
                                't' => text.push('\t'),
                                'u' => {
                                    let code: String =
                                        bytes.get(*at + 1..*at + 5)?.iter().collect();
                                    let code = u32::from_str_radix(&code, 16).ok()?;
                                    text.push(char::from_u32(code)?);
                                    *at += 4;
                                }
                                other => text.push(*other),
                            }
                            *at += 1;
                        }
                        other => {
                            text.push(*other);
                            *at += 1;
                        }
                    }
                }
            }
            _ => {
                let start = *at;
                while bytes.get(*at).is_some_and(|it| !",]} \n\t\r".contains(*it)) {
                    *at += 1;
                }
                let word: String = bytes[start..*at].iter().collect();
                Some(match word.as_str() {
                    "null" => Json::Null,
                    "true" | "false" => Json::Bool,
                    number => Json::Number(number.parse().ok()?),
                })
            }
        }
    }

    pub fn get(&self, key: &str) -> &Json {
        match self {
            Json::Table(rows) => {
                rows.iter().find(|(name, _)| name == key).map_or(&Json::Null, |(_, value)| value)
            }
            _ => &Json::Null,
        }
    }

    pub fn text(&self) -> &str {
        if let Json::Text(text) = self { text } else { "" }
    }

    pub fn number(&self) -> u64 {
        if let Json::Number(number) = self { *number as u64 } else { 0 }
    }

    pub fn list(&self) -> &[Json] {
        if let Json::List(items) = self { items } else { &[] }
    }
}

//! JSON and base64, as far as the calls of the store need them.

/// A value of JSON, as far as the calls of the store need it.
#[derive(Debug, Clone)]
pub enum Json {
    Null,
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(bytes: &[u8]) -> Option<Json> {
        Parser { bytes, at: 0 }.value()
    }

    pub fn get(&self, name: &str) -> Option<&Json> {
        let Json::Table(rows) = self else { return None };
        rows.iter().find(|(key, _)| key == name).map(|(_, value)| value)
    }

    pub fn text(&self, name: &str) -> String {
        match self.get(name) {
            Some(Json::Text(text)) => text.clone(),
            _ => String::new(),
        }
    }

    pub fn number(&self, name: &str) -> u64 {
        match self.get(name) {
            Some(Json::Number(number)) => *number as u64,
            _ => 0,
        }
    }

    pub fn list(&self, name: &str) -> &[Json] {
        match self.get(name) {
            Some(Json::List(list)) => list,
            _ => &[],
        }
    }
}

struct Parser<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn next(&mut self) -> Option<u8> {
        while self.bytes.get(self.at).is_some_and(|byte| byte.is_ascii_whitespace()) {
            self.at += 1;
        }
        self.bytes.get(self.at).copied()
    }

    fn value(&mut self) -> Option<Json> {
        match self.next()? {
            b'{' => self.table(),
            b'[' => self.list(),
            b'"' => Some(Json::Text(self.text()?)),
            b't' => self.word(4),
            b'f' => self.word(5),
            b'n' => self.word(4),
            _ => self.number(),
        }
    }

    fn word(&mut self, len: usize) -> Option<Json> {
        self.at += len;
        Some(Json::Null)
    }

    fn number(&mut self) -> Option<Json> {
        let start = self.at;
        let is_part = |byte: &u8| byte.is_ascii_digit() || b"+-.eE".contains(byte);
        while self.bytes.get(self.at).is_some_and(is_part) {
            self.at += 1;
        }
        let text = std::str::from_utf8(&self.bytes[start..self.at]).ok()?;
        text.parse().ok().map(Json::Number)
    }

    fn text(&mut self) -> Option<String> {
        self.at += 1;
        let mut text = Vec::new();
        loop {
            let byte = *self.bytes.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(text).ok(),
                b'\\' => {
                    let escaped = *self.bytes.get(self.at)?;
                    self.at += 1;
                    text.push(if escaped == b'n' { b'\n' } else { escaped });
                }
                other => text.push(other),
            }
        }
    }

    fn list(&mut self) -> Option<Json> {
        self.at += 1;
        let mut list = Vec::new();
        loop {
            match self.next()? {
                b']' => {
                    self.at += 1;
                    return Some(Json::List(list));
                }
                b',' => self.at += 1,
                _ => list.push(self.value()?),
            }
        }
    }

    fn table(&mut self) -> Option<Json> {
        self.at += 1;
        let mut rows = Vec::new();
        loop {
            match self.next()? {
                b'}' => {
                    self.at += 1;
                    return Some(Json::Table(rows));
                }
                b',' => self.at += 1,
                _ => {
                    let key = self.text()?;
                    self.next().filter(|byte| *byte == b':')?;
                    self.at += 1;
                    rows.push((key, self.value()?));
                }
            }
        }
    }
}

/// Encodes bytes as standard base64 with padding.
pub fn base64(bytes: &[u8]) -> String {
    const LETTERS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = [0; 3];
        group[..chunk.len()].copy_from_slice(chunk);
        let number = u32::from_be_bytes([0, group[0], group[1], group[2]]);
        for place in 0..4 {
            let letter = LETTERS[(number >> (18 - 6 * place)) as usize & 63];
            text.push(if place > chunk.len() { '=' } else { letter as char });
        }
    }
    text
}

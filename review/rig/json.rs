//! A small reader of JSON.

/// A JSON value.
#[derive(Clone, Debug)]
pub enum Value {
    Null,
    Bool,
    Number(f64),
    Text(String),
    List(Vec<Value>),
    Object(Vec<(String, Value)>),
}

impl Value {
    /// Returns a field of an object.
    pub fn get(&self, name: &str) -> Option<&Value> {
        match self {
            Self::Object(fields) => fields.iter().find(|(key, _)| key == name).map(|(_, v)| v),
            _ => None,
        }
    }

    /// Returns a field as a list, empty if there is none.
    pub fn list(&self, name: &str) -> &[Value] {
        match self.get(name) {
            Some(Self::List(values)) => values,
            _ => &[],
        }
    }

    /// Returns a field as a text, empty if there is none.
    pub fn text(&self, name: &str) -> &str {
        match self.get(name) {
            Some(Self::Text(text)) => text,
            _ => "",
        }
    }

    /// Returns a field as a number, 0 if there is none.
    pub fn number(&self, name: &str) -> u64 {
        match self.get(name) {
            Some(Self::Number(number)) => *number as u64,
            _ => 0,
        }
    }
}

/// Reads a value; `None` if the text is not JSON.
pub fn parse(text: &[u8]) -> Option<Value> {
    let mut at = 0;
    value(text, &mut at)
}

fn space(text: &[u8], at: &mut usize) {
    while text.get(*at).is_some_and(u8::is_ascii_whitespace) {
        *at += 1;
    }
}

fn value(text: &[u8], at: &mut usize) -> Option<Value> {
    space(text, at);
    match text.get(*at)? {
        b'{' => {
            *at += 1;
            let mut fields = Vec::new();
            loop {
                space(text, at);
                match text.get(*at)? {
                    b'}' => {
                        *at += 1;
                        return Some(Value::Object(fields));
                    }
                    b',' => *at += 1,
                    _ => {
                        let name = string(text, at)?;
                        space(text, at);
                        if text.get(*at)? != &b':' {
                            return None;
                        }
                        *at += 1;
                        fields.push((name, value(text, at)?));
                    }
                }
            }
        }
        b'[' => {
            *at += 1;
            let mut values = Vec::new();
            loop {
                space(text, at);
                match text.get(*at)? {
                    b']' => {
                        *at += 1;
                        return Some(Value::List(values));
                    }
                    b',' => *at += 1,
                    _ => values.push(value(text, at)?),
                }
            }
        }
        b'"' => Some(Value::Text(string(text, at)?)),
        b't' => {
            *at += 4;
            Some(Value::Bool)
        }
        b'f' => {
            *at += 5;
            Some(Value::Bool)
        }
        b'n' => {
            *at += 4;
            Some(Value::Null)
        }
        _ => {
            let start = *at;
            while text
                .get(*at)
                .is_some_and(|b| b"+-.eE0123456789".contains(b))
            {
                *at += 1;
            }
            let number = std::str::from_utf8(&text[start..*at]).ok()?;
            Some(Value::Number(number.parse().ok()?))
        }
    }
}

fn string(text: &[u8], at: &mut usize) -> Option<String> {
    if text.get(*at)? != &b'"' {
        return None;
    }
    *at += 1;
    let mut bytes = Vec::new();
    loop {
        let byte = *text.get(*at)?;
        *at += 1;
        match byte {
            b'"' => return String::from_utf8(bytes).ok(),
            b'\\' => {
                let escaped = *text.get(*at)?;
                *at += 1;
                match escaped {
                    b'n' => bytes.push(b'\n'),
                    b't' => bytes.push(b'\t'),
                    b'r' => bytes.push(b'\r'),
                    b'u' => {
                        let hex = std::str::from_utf8(text.get(*at..*at + 4)?).ok()?;
                        let code = u32::from_str_radix(hex, 16).ok()?;
                        *at += 4;
                        let mut buffer = [0; 4];
                        let char = char::from_u32(code)?;
                        bytes.extend_from_slice(char.encode_utf8(&mut buffer).as_bytes());
                    }
                    other => bytes.push(other),
                }
            }
            other => bytes.push(other),
        }
    }
}

//! Edits of the configuration document by operators of several teams.
//!
//! An edit replaces one section of the document. One transaction writes the document, the numbers
//! of each section's last edit, and a new history entry, each under a key of its own. Concurrent
//! edits of different sections are all accepted; an edit of a section that has changed since its
//! author read it is refused, and the error holds both texts.

mod records;

use std::fmt;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use cactuslane_authority::keys;
use cactuslane_config::document::hash_token;
use cactuslane_config::edit::{EditError, replace_section, section_text};
use cactuslane_config::{Document, Section};
use cactuslane_store::{Compare, Op, Store, StoreError, Txn};
use cactuslane_types::Revision;
use tokio::time::sleep;

pub use records::{EditRecord, Operator};
use records::{LAST_EDITS_KEY, LastEdits, history_key, operator_key};

/// Number of times that [`Editor::put`] tries to write one edit before it gives up. Reads of the
/// document are not counted.
const MAX_ATTEMPTS: usize = 40;
/// Time before the next attempt when the document could not be read again.
const RETRY_INTERVAL: Duration = Duration::from_millis(250);

/// Edits the configuration document of one deployment.
#[derive(Clone, Debug)]
pub struct Editor {
    /// Client of the key-value service that holds the document.
    store: Store,
}

/// The configuration document as read from the key-value service.
#[derive(Clone, Debug)]
pub struct CurrentDocument {
    /// Text of the document, with its comments.
    pub text: String,
    /// Revision of the key-value service that last changed the document.
    pub revision: Revision,
    /// Numbers of the last edits, read in the same transaction.
    last_edits: LastEdits,
    /// Revision that last changed those numbers; 0 before the first edit.
    edits_revision: Revision,
}

/// An edit that was accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Accepted {
    /// Number of the edit in the history.
    pub number: u64,
    /// Revision that the edit's transaction created, or the document's current one if the edit was
    /// found in the history after its answer was lost.
    pub revision: Revision,
}

/// Reason why a call failed, or why its outcome is unknown.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EditorError {
    /// No configuration document has been written yet.
    NoDocument,
    /// `init` found a configuration document in place.
    DocumentExists,
    /// The token belongs to no operator, or to one without the right to edit the section.
    NotPermitted(String),
    /// The section has changed since its author read it.
    Conflict {
        /// Last edit of the section.
        theirs: Box<EditRecord>,
        /// Text of the section in the refused edit.
        ours: String,
    },
    /// The document is not valid, would not be after the edit, or lacks the section.
    Invalid(String),
    /// The history holds no edit with this number.
    NoEdit(u64),
    /// Nothing was changed: a call to the key-value service failed, or at every attempt to write
    /// the edit the document had changed since it was read.
    Unavailable(String),
    /// It is not known whether the change was made, for example after a lost answer.
    Unknown(String),
}

impl fmt::Display for EditorError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoDocument => f.write_str("there is no document yet; write one with `init`"),
            Self::DocumentExists => f.write_str("there is a document already; edit it with `put`"),
            Self::NotPermitted(why) => write!(f, "not permitted: {why}"),
            Self::Conflict { theirs, ours } => write!(
                f,
                "not accepted: {} changed `{}` in edit {} after you read it; read it again\n\
                 --- theirs\n{}\n--- yours\n{ours}",
                theirs.by, theirs.section, theirs.number, theirs.after
            ),
            Self::Invalid(errors) => write!(f, "not accepted, nothing was changed\n{errors}"),
            Self::NoEdit(number) => write!(f, "there is no edit {number} in the history"),
            Self::Unavailable(why) => write!(f, "not accepted, nothing was changed: {why}"),
            Self::Unknown(why) => write!(
                f,
                "unknown whether it was accepted: {why}; `history` shows accepted edits once the \
                 key-value service answers again"
            ),
        }
    }
}

impl Editor {
    /// Creates an editor that works on a key-value service.
    #[must_use]
    pub fn open(store: Store) -> Self {
        Self { store }
    }

    /// Reads the document and the numbers of its last edits in one transaction.
    ///
    /// Numbers that cannot be parsed are read as if there had been no edit.
    ///
    /// # Errors
    ///
    /// Returns [`EditorError::NoDocument`] if there is no document, and
    /// [`EditorError::Unavailable`] if the call to the key-value service fails.
    pub async fn current(&self) -> Result<CurrentDocument, EditorError> {
        let reads = vec![
            Op::Get(keys::CONFIG.to_owned()),
            Op::Get(LAST_EDITS_KEY.to_owned()),
        ];
        let txn = Txn {
            then: reads,
            ..Txn::default()
        };
        let answer = self
            .store
            .txn(&txn)
            .await
            .map_err(|error| unavailable(&error))?;
        let mut reads = answer.reads.into_iter();
        let document = reads.next().flatten().ok_or(EditorError::NoDocument)?;
        let last_edits = reads.next().flatten();
        let edits_revision = last_edits.as_ref().map_or(0, |record| record.modified);
        let last_edits = last_edits.and_then(|record| serde_json::from_slice(&record.value).ok());
        Ok(CurrentDocument {
            text: String::from_utf8_lossy(&document.value).into_owned(),
            revision: document.modified,
            last_edits: last_edits.unwrap_or_default(),
            edits_revision,
        })
    }

    /// Writes the first document and returns its revision.
    ///
    /// If the answer is lost, the document counts as written once it reads back with the same text.
    ///
    /// # Errors
    ///
    /// Returns [`EditorError::Invalid`] if the document is not valid,
    /// [`EditorError::DocumentExists`] if there is one already, [`EditorError::Unknown`] if the
    /// answer was lost and the stored text cannot be read or is not the same, and
    /// [`EditorError::Unavailable`] for any other failure of the key-value service.
    pub async fn init(&self, text: &str) -> Result<Revision, EditorError> {
        check_document(text)?;
        let key = keys::CONFIG.to_owned();
        let txn = Txn {
            compare: vec![Compare::Absent(key.clone())],
            then: vec![Op::Put(key, text.as_bytes().to_vec(), None)],
            otherwise: Vec::new(),
        };
        match self.store.txn(&txn).await {
            Ok(answer) if answer.succeeded => Ok(answer.revision),
            Ok(_) => Err(EditorError::DocumentExists),
            Err(StoreError::Lost(why)) => match self.current().await {
                Ok(current) if current.text == text => Ok(current.revision),
                _ => Err(EditorError::Unknown(why)),
            },
            Err(error) => Err(unavailable(&error)),
        }
    }

    /// Permits the holder of a token to edit the operator's sections, in place of an earlier grant
    /// to the same token.
    ///
    /// # Errors
    ///
    /// Returns [`EditorError::Unknown`] if the answer was lost after the request may have arrived,
    /// and [`EditorError::Unavailable`] for any other failure of the key-value service.
    pub async fn grant(&self, token: &str, operator: &Operator) -> Result<(), EditorError> {
        let value = serde_json::to_vec(operator).unwrap_or_default();
        let put = Op::Put(operator_key(&hash_token(token)), value, None);
        let txn = Txn {
            then: vec![put],
            ..Txn::default()
        };
        self.store
            .txn(&txn)
            .await
            .map(|_| ())
            .map_err(|error| match error {
                StoreError::Lost(why) => EditorError::Unknown(why),
                error => unavailable(&error),
            })
    }

    /// Returns the operator that a token belongs to, if that operator may edit the section.
    ///
    /// # Errors
    ///
    /// Returns [`EditorError::NotPermitted`] if the token belongs to no operator, to one whose
    /// record cannot be parsed or to one that may not edit the section, and
    /// [`EditorError::Unavailable`] if the call to the key-value service fails.
    pub async fn authorize(&self, token: &str, section: Section) -> Result<Operator, EditorError> {
        let key = operator_key(&hash_token(token));
        let record = self
            .store
            .get(&key)
            .await
            .map_err(|error| unavailable(&error))?;
        let unknown_token =
            || EditorError::NotPermitted("the token belongs to no operator".to_owned());
        let record = record.ok_or_else(unknown_token)?;
        let operator: Operator =
            serde_json::from_slice(&record.value).map_err(|_| unknown_token())?;
        if operator
            .sections
            .iter()
            .any(|name| name == section.as_str())
        {
            return Ok(operator);
        }
        let permitted = operator.sections.join(", ");
        let message = format!(
            "{} may edit {permitted}, not {}",
            operator.name,
            section.as_str()
        );
        Err(EditorError::NotPermitted(message))
    }

    /// Replaces the text of a section.
    ///
    /// `base` is the number of the section's last edit when its author read the section; without
    /// it, the number at the start of this call is used. The edit is refused if the section has a
    /// newer edit than `base`. If only other sections have changed meanwhile, the edit is tried
    /// again on the new document.
    ///
    /// # Errors
    ///
    /// Returns [`EditorError::Conflict`] if the section has changed since `base`,
    /// [`EditorError::Invalid`] if the resulting document would not be valid, and
    /// [`EditorError::Unknown`] if it is not known whether the edit was accepted. Any other error
    /// means that nothing was changed.
    pub async fn put(
        &self,
        token: &str,
        section: Section,
        text: &str,
        base: Option<u64>,
    ) -> Result<Accepted, EditorError> {
        let operator = self.authorize(token, section).await?;
        let mut current = self.current().await?;
        let base = base.unwrap_or_else(|| current.last_edits.last_of(section));
        let id = rand::random();
        let mut lost = None;
        for _ in 0..MAX_ATTEMPTS {
            if current.last_edits.last_of(section) > base {
                return self.resolve_newer_edit(&current, section, text, id).await;
            }
            let edit = prepare_edit(&current, section, text, &operator.name, id)?;
            match self.store.txn(&edit.txn).await {
                Ok(answer) if answer.succeeded => {
                    return Ok(Accepted {
                        number: edit.number,
                        revision: answer.revision,
                    });
                }
                Err(StoreError::Lost(why)) => lost = Some(why),
                Err(error) if lost.is_none() => return Err(unavailable(&error)),
                Ok(_) | Err(_) => {}
            }
            // The document has changed since it was read, or the answer was lost: whether the
            // section now has a newer edit shows how to go on.
            match self.current().await {
                Ok(read) => current = read,
                Err(_) => sleep(RETRY_INTERVAL).await,
            }
        }
        match lost {
            Some(why) => Err(EditorError::Unknown(why)),
            None => Err(EditorError::Unavailable(
                "at every attempt the document had changed since it was read".to_owned(),
            )),
        }
    }

    /// Returns the edits that the history still holds, newest first.
    ///
    /// Entries that cannot be parsed are left out.
    ///
    /// # Errors
    ///
    /// Returns [`EditorError::Unavailable`] if the call to the key-value service fails.
    pub async fn history(&self) -> Result<Vec<EditRecord>, EditorError> {
        let records = self
            .store
            .range(keys::HISTORY)
            .await
            .map_err(|error| unavailable(&error))?;
        let mut edits: Vec<EditRecord> = Vec::new();
        for record in records {
            edits.extend(serde_json::from_slice::<EditRecord>(&record.value));
        }
        edits.reverse();
        Ok(edits)
    }

    /// Restores a section to its text before an edit, by a new edit.
    ///
    /// Later edits of the same section are undone too.
    ///
    /// # Errors
    ///
    /// Returns [`EditorError::NoEdit`] if the edit is not in the history or its entry names an
    /// unknown section, and the errors of [`Editor::history`] and [`Editor::put`].
    pub async fn rollback(&self, token: &str, number: u64) -> Result<Accepted, EditorError> {
        let history = self.history().await?;
        let edit = history.into_iter().find(|edit| edit.number == number);
        let edit = edit.ok_or(EditorError::NoEdit(number))?;
        let section = Section::parse(&edit.section).ok_or(EditorError::NoEdit(number))?;
        self.put(token, section, &edit.before, None).await
    }

    /// Finds out whether the newer edit of a section is the caller's own, whose answer was lost.
    ///
    /// The random `id` of the edit identifies it in the history. If the edit is not there, the
    /// section's last edit is returned as a conflict; the outcome is unknown if the history cannot
    /// be read or lacks that one as well.
    async fn resolve_newer_edit(
        &self,
        current: &CurrentDocument,
        section: Section,
        text: &str,
        id: u64,
    ) -> Result<Accepted, EditorError> {
        let history = match self.history().await {
            Ok(history) => history,
            Err(error) => return Err(EditorError::Unknown(error.to_string())),
        };
        if let Some(own) = history.iter().find(|edit| edit.id == id) {
            return Ok(Accepted {
                number: own.number,
                revision: current.revision,
            });
        }
        let last = current.last_edits.last_of(section);
        match history.into_iter().find(|edit| edit.number == last) {
            Some(theirs) => Err(EditorError::Conflict {
                theirs: Box::new(theirs),
                ours: text.to_owned(),
            }),
            None => Err(EditorError::Unknown(
                "the section's last edit is not in the history".to_owned(),
            )),
        }
    }
}

impl CurrentDocument {
    /// Returns the text of a section, with its comments.
    ///
    /// # Errors
    ///
    /// Returns [`EditorError::Invalid`] if the document cannot be parsed or lacks the section.
    pub fn section(&self, section: Section) -> Result<String, EditorError> {
        section_text(&self.text, section).map_err(|error| EditorError::Invalid(error.to_string()))
    }

    /// Returns the number of a section's last edit, to be passed to [`Editor::put`] as `base`; 0
    /// before the first edit.
    #[must_use]
    pub fn base(&self, section: Section) -> u64 {
        self.last_edits.last_of(section)
    }
}

/// Number and transaction of an edit that has not been sent yet.
struct PreparedEdit {
    /// Number that the edit gets if its transaction succeeds.
    number: u64,
    /// Transaction that writes the edit if the document and the numbers of the last edits have not
    /// changed since they were read.
    txn: Txn,
}

/// Builds the transaction that replaces a section of the current document.
///
/// It also adds the edit to the history and deletes the entry that falls out of it.
fn prepare_edit(
    current: &CurrentDocument,
    section: Section,
    text: &str,
    operator: &str,
    id: u64,
) -> Result<PreparedEdit, EditorError> {
    let before = current.section(section)?;
    let document = replace_section(&current.text, section, text).map_err(|error| match error {
        EditError::Invalid(_) | EditError::NoSection(_) => EditorError::Invalid(error.to_string()),
    })?;
    let mut last_edits = current.last_edits.clone();
    let number = last_edits.add(section);
    let edit = EditRecord {
        number,
        id,
        section: section.as_str().to_owned(),
        by: operator.to_owned(),
        at_ms: wall_clock_ms(),
        before,
        after: text.trim().to_owned(),
    };
    let edits_key = LAST_EDITS_KEY.to_owned();
    let unchanged = match current.edits_revision {
        0 => Compare::Absent(edits_key.clone()),
        revision => Compare::Modified(edits_key.clone(), revision),
    };
    let value = |json: serde_json::Result<Vec<u8>>| json.unwrap_or_default();
    let mut then = vec![
        Op::Put(keys::CONFIG.to_owned(), document.into_bytes(), None),
        Op::Put(edits_key, value(serde_json::to_vec(&last_edits)), None),
        Op::Put(history_key(number), value(serde_json::to_vec(&edit)), None),
    ];
    then.extend(records::pruned_history_key(number).map(Op::Delete));
    let config = Compare::Modified(keys::CONFIG.to_owned(), current.revision);
    let txn = Txn {
        compare: vec![config, unchanged],
        then,
        otherwise: Vec::new(),
    };
    Ok(PreparedEdit { number, txn })
}

/// Checks that a text is a valid configuration document.
fn check_document(text: &str) -> Result<(), EditorError> {
    let result = Document::parse("document", text);
    result
        .map(|_| ())
        .map_err(|diagnostics| EditorError::Invalid(EditError::Invalid(diagnostics).to_string()))
}

/// Converts an error of the key-value service, for calls that have changed nothing.
fn unavailable(error: &StoreError) -> EditorError {
    EditorError::Unavailable(error.to_string())
}

/// Returns this machine's wall-clock time, in milliseconds since the Unix epoch.
fn wall_clock_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis() as u64
}

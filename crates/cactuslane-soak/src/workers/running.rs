//! The process of a target: its start, its input and its end.

use std::fs::File;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{self, Receiver, TryRecvError};

use cactuslane_platform_standin::TargetKind;
use cactuslane_platform_standin::process::{Line, Mood};
use rustix::process::{Pid, Signal, kill_process};

/// What a process is started with.
#[derive(Clone, Debug)]
pub struct Program {
    /// Executable with the command `target`.
    pub binary: PathBuf,
    /// Folder of the logs.
    pub folder: PathBuf,
    /// Loopback address at which the processes listen.
    pub host: Ipv4Addr,
    /// Kind of the target.
    pub kind: TargetKind,
    /// Seed of the framings.
    pub seed: u64,
    /// Whether some answers are sent a second time on their connection.
    pub copies: bool,
}

/// A child process; dropping it kills the process, whose end a thread awaits.
#[derive(Debug)]
pub struct Running {
    /// Handle of the process; `None` once it is dropped.
    child: Option<Child>,
    /// Receives the address that it listens on.
    started: Receiver<SocketAddr>,
}

/// The log of a process.
#[derive(Debug)]
pub struct MadeLog {
    /// File that the process appends to.
    file: File,
    /// Part of the last line that was read.
    rest: Vec<u8>,
}

impl Program {
    /// Starts a process of the target `id`, at a free port unless an address is given.
    ///
    /// `name` is that of the target's log, and `process` the number of the process.
    pub fn start(
        &self,
        (name, id, process): (&str, &str, u64),
        address: Option<SocketAddr>,
    ) -> io::Result<(Running, MadeLog)> {
        let log = self.folder.join(format!("{name}-{process}.made"));
        let free = SocketAddr::from((self.host, 0));
        // A run that was ended may have left the log of a process with the same number.
        drop(File::create(&log)?);
        let mut command = Command::new(&self.binary);
        command.args(["target", "--id", id]);
        command.args(["--process", &process.to_string()]);
        command.args(["--seed", &self.seed.to_string()]);
        command.args(["--address", &address.unwrap_or(free).to_string()]);
        command.arg("--log").arg(&log);
        match self.kind {
            TargetKind::Plain => {}
            TargetKind::Prefill => {
                command.arg("--prompts");
            }
            TargetKind::Decode => {
                command.arg("--streams");
            }
        }
        if self.copies {
            command.arg("--copies");
        }
        let running = Running::spawn(&mut command)?;
        Ok((running, MadeLog::open(&log)?))
    }
}

impl Running {
    /// Starts a process that prints its address.
    fn spawn(command: &mut Command) -> io::Result<Self> {
        let mut child = command
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()?;
        let output = child
            .stdout
            .take()
            .ok_or_else(|| io::Error::other("the stdout of the process is not piped"))?;
        let (sender, started) = mpsc::channel();
        std::thread::spawn(move || {
            let mut line = String::new();
            let read = BufReader::new(output).read_line(&mut line);
            if let Ok(address) = line.trim().parse()
                && read.is_ok()
            {
                // The receiver is dropped if the process is killed while it starts.
                let _ = sender.send(address);
            }
        });
        let child = Some(child);
        Ok(Self { child, started })
    }

    /// Returns the address that the process listens on, if it has stated it.
    ///
    /// # Errors
    ///
    /// Returns an error if it ended before.
    pub fn poll_address(&self) -> Result<Option<SocketAddr>, TryRecvError> {
        match self.started.try_recv() {
            Err(TryRecvError::Empty) => Ok(None),
            result => result.map(Some),
        }
    }

    /// Sets the deviation of the process from correct behaviour, and returns whether it was told.
    pub fn set_mood(&mut self, mood: Option<Mood>) -> bool {
        let input = self.child.as_mut().and_then(|child| child.stdin.as_mut());
        let Some(input) = input else {
            return false;
        };
        let line = serde_json::to_string(&mood).expect("a mood can be encoded");
        writeln!(input, "{line}").is_ok()
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: Signal) {
        let child = self.child.as_ref();
        let pid = child.and_then(|child| Pid::from_raw(i32::try_from(child.id()).ok()?));
        if let Some(pid) = pid {
            // A process that has ended is started again after the next fault.
            let _ = kill_process(pid, signal);
        }
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        let Some(mut child) = self.child.take() else {
            return;
        };
        // Killing fails if the process has already ended.
        let _ = child.kill();
        std::thread::spawn(move || child.wait());
    }
}

impl MadeLog {
    /// Opens the log of a process.
    fn open(path: &Path) -> io::Result<Self> {
        let file = File::open(path)?;
        let rest = Vec::new();
        Ok(Self { file, rest })
    }

    /// Reads the lines that the process has written since the last call.
    pub fn read(&mut self) -> io::Result<Vec<Line>> {
        self.file.read_to_end(&mut self.rest)?;
        let Some(end) = self.rest.iter().rposition(|byte| *byte == b'\n') else {
            return Ok(Vec::new());
        };
        let text: Vec<u8> = self.rest.drain(..=end).collect();
        let lines = text.split(|byte| *byte == b'\n');
        let parse = |line| serde_json::from_slice(line).map_err(io::Error::other);
        lines.filter(|line| !line.is_empty()).map(parse).collect()
    }
}

//! Descriptions of the two existing deployments, Cluj and Split: what runs where.

use std::time::Duration;

/// Description of a deployment.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// The name, as on the command line.
    pub name: &'static str,
    /// The failure domains; instances and targets are spread over them in turn.
    pub domains: [&'static str; 3],
    /// The number of instances of the entry.
    pub entries: usize,
    /// The model's name and the number of its engines.
    pub model: (&'static str, usize),
    /// The plain service's name and the number of its workers.
    pub service: (&'static str, usize),
    /// The one-way latency between failure domains.
    pub latency: Duration,
    /// The IANA name of the time zone for the maintenance windows.
    pub zone: &'static str,
    /// Whether its engines check the fencing tokens of orders.
    pub fencing: bool,
}

/// Target of a deployment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetSpec {
    /// The target's name, such as `engine-1` or `service-1`.
    pub name: String,
    /// The failure domain that it runs in.
    pub domain: &'static str,
    /// The model or service that it serves.
    pub service: &'static str,
    /// Whether it is a model engine, not a worker of a plain service.
    pub is_engine: bool,
}

impl Deployment {
    /// Returns the deployment of Cluj, whose engines check fencing tokens.
    #[must_use]
    pub fn cluj() -> Self {
        Self {
            name: "cluj",
            domains: ["ardeal-a", "ardeal-b", "ardeal-c"],
            entries: 7,
            model: ("model-numarare", 12),
            service: ("registru-anchete", 3),
            latency: Duration::from_micros(900),
            zone: "Europe/Bucharest",
            fencing: true,
        }
    }

    /// Returns the deployment of Split, whose engines ignore fencing tokens.
    #[must_use]
    pub fn split() -> Self {
        Self {
            name: "split",
            domains: ["hr-south-a", "hr-south-b", "hr-south-c"],
            entries: 6,
            model: ("clerk-assist", 9),
            service: ("permit-desk", 3),
            latency: Duration::from_micros(500),
            zone: "Europe/Zagreb",
            fencing: false,
        }
    }

    /// Returns the deployment with a name, if there is one.
    #[must_use]
    pub fn named(name: &str) -> Option<Self> {
        match name {
            "cluj" => Some(Self::cluj()),
            "split" => Some(Self::split()),
            _ => None,
        }
    }

    /// Returns the failure domain of the instance or target with an index from 0.
    #[must_use]
    pub fn domain(&self, index: usize) -> &'static str {
        self.domains[index % self.domains.len()]
    }

    /// Returns all targets: the engines, then the workers of the plain service.
    #[must_use]
    pub fn targets(&self) -> Vec<TargetSpec> {
        let (model, engines) = self.model;
        let (service, workers) = self.service;
        let engine = |index: usize| TargetSpec {
            name: format!("engine-{}", index + 1),
            domain: self.domain(index),
            service: model,
            is_engine: true,
        };
        let worker = |index: usize| TargetSpec {
            name: format!("service-{}", index + 1),
            domain: self.domain(index),
            service,
            is_engine: false,
        };
        (0..engines)
            .map(engine)
            .chain((0..workers).map(worker))
            .collect()
    }

    /// Returns the configuration document, with the caller `desk` as the only one.
    ///
    /// `token_sha256` is the SHA-256 hash of that caller's token.
    #[must_use]
    pub fn document(&self, token_sha256: &str) -> String {
        let (model, engines) = self.model;
        let service = self.service.0;
        let serving = engines / 2;
        let zone = self.zone;
        let fencing = if self.fencing { "checked" } else { "ignored" };
        let weight = if self.name == "split" { 6.0 } else { 1.0 };
        format!(
            r#"{{
  // Which models and plain services there are, with their bounds.
  "models": {{
    "engines": {{
      "{model}": {{
        "first_token_ms": 1500,
        "between_tokens_ms": 60,
        "min_serving": {serving},
        "version": "1",
        "max_output": 2048,
        "fencing": "{fencing}"
      }}
    }},
    "services": {{
      "{service}": {{
        "timeout_ms": 5000,
        // What is not named here is never repeated.
        "repeatable": [
          {{ "method": "GET", "path": "/" }},
          {{ "method": "HEAD", "path": "/" }}
        ]
      }}
    }}
  }},
  // How engines are divided between roles.
  "capacity": {{
    "retry_share": 0.1,
    "roles": {{
      "{model}": {{ "change_ms": 6000, "change_weight": {weight}, "payback_ms": 120000 }}
    }}
  }},
  // Who may call what, and how much.
  "callers": {{
    "desk": {{
      "token_sha256": "{token_sha256}",
      "models": ["{model}"],
      "services": ["{service}"],
      "rate": 500,
      "tokens": 2000000,
      "concurrency": 1000
    }}
  }},
  // Planned work on targets.
  "maintenance": {{
    "time_zone": "{zone}",
    "windows": [{{ "days": [1, 2, 3, 4, 5, 6, 7], "from": "21:00", "until": "05:00" }}],
    "drains": {{}},
    "at_once": 1,
    "per_domain": 1
  }}
}}
"#
        )
    }
}

//! Access to the control listeners of emulated services: fault injection, counters and run logs.

use eyre::{Result, bail};
use http::{Method, Request, header};
use ponddrift_emulator::engine::EngineCounters;
use ponddrift_emulator::run_log::{RunCounts, RunReport};
use ponddrift_http::body;
use serde::de::DeserializeOwned;
use serde_json::Value;
use std::net::SocketAddr;

use crate::fleet::{Fleet, read};

impl Fleet {
    /// Sends a `POST` request with a JSON body to a control listener.
    ///
    /// # Errors
    /// If the request fails or is rejected.
    pub async fn post_control(
        &self,
        address: SocketAddr,
        path: &str,
        body_json: &Value,
    ) -> Result<()> {
        let request = Request::builder()
            .method(Method::POST)
            .uri(format!("http://{address}{path}"))
            .header(header::CONTENT_TYPE, "application/json")
            .body(body::full(body_json.to_string()))?;
        let response = self.send(request).await?;
        let status = response.status();
        if !status.is_success() {
            bail!("{path} returned {status}: {:?}", read(response).await?);
        }
        Ok(())
    }

    /// Reads a JSON document with a `GET` request.
    ///
    /// # Errors
    /// If the request fails or the body is not valid.
    pub async fn get_json<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
    ) -> Result<T> {
        let request = Request::get(format!("http://{address}{path}")).body(body::empty())?;
        let response = self.send(request).await?;
        Ok(serde_json::from_slice(&read(response).await?)?)
    }

    /// Changes the behaviour of the engine at `index`.
    ///
    /// # Errors
    /// If the request fails or the engine rejects it.
    pub async fn set_engine_behaviour(&self, index: usize, behaviour: &Value) -> Result<()> {
        let address = self.engines[index].address("/control")?;
        self.post_control(address, "/test/behaviour", behaviour)
            .await
    }

    /// Reads the counters of the engine at `index`.
    ///
    /// # Errors
    /// If the engine does not respond.
    pub async fn engine_counters(&self, index: usize) -> Result<EngineCounters> {
        let address = self.engines[index].address("/control")?;
        self.get_json(address, "/test/counters").await
    }

    /// Changes the faults of the plain back end at `index`.
    ///
    /// # Errors
    /// If the request fails or the back end rejects it.
    pub async fn set_records_faults(&self, index: usize, faults: &Value) -> Result<()> {
        let address = self.records[index].address("/address")?;
        self.post_control(address, "/test/settings", faults).await
    }

    /// Returns the run counts of a request, summed over all back ends.
    ///
    /// # Errors
    /// If a back end does not respond.
    pub async fn runs_of_request(&self, request_id: &str) -> Result<RunCounts> {
        let mut sum = RunCounts::default();
        for log in self.run_logs().await? {
            let entries = log
                .runs
                .iter()
                .filter(|entry| entry.key.request_id == request_id);
            for entry in entries {
                sum.started += entry.counts.started;
                sum.ended += entry.counts.ended;
                sum.whole += entry.counts.whole;
                sum.refused += entry.counts.refused;
            }
        }
        Ok(sum)
    }

    /// Returns how many runs were started with an idempotency key, summed over all back ends.
    ///
    /// # Errors
    /// If a back end does not respond.
    pub async fn runs_with_idempotency_key(&self, key: &str) -> Result<u32> {
        let logs = self.run_logs().await?;
        let entries = logs.iter().flat_map(|log| &log.runs);
        let with_key = entries.filter(|entry| entry.key.idempotency_key.as_deref() == Some(key));
        Ok(with_key.map(|entry| entry.counts.started).sum())
    }

    async fn run_logs(&self) -> Result<Vec<RunReport>> {
        let mut logs = Vec::new();
        for engine in &self.engines {
            logs.push(
                self.get_json(engine.address("/control")?, "/test/runs")
                    .await?,
            );
        }
        for records in &self.records {
            logs.push(
                self.get_json(records.address("/address")?, "/test/runs")
                    .await?,
            );
        }
        Ok(logs)
    }
}

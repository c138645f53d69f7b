//! The parts of a datagram.

use borsh::{BorshDeserialize, BorshSerialize};
use ponddrift_core::demand::ModelDemand;
use ponddrift_core::drain::{DrainAck, DrainMark};
use ponddrift_core::engine_facts::EngineFacts;
use ponddrift_core::load::AgedDigest;
use ponddrift_core::membership::MembershipMessage;
use ponddrift_core::{CellName, FencingToken, Revision};

/// A part of a datagram. New variants must be added at the end, with a new protocol version.
#[derive(Debug, Clone, PartialEq, Eq, BorshSerialize, BorshDeserialize)]
pub enum Part {
    /// Message of the membership protocol.
    Membership(MembershipMessage),
    /// Load digests of engines, each with its age.
    Load(Vec<AgedDigest>),
    /// Drain marks that the sender knows.
    DrainMarks(Vec<DrainMark>),
    /// Acknowledgements for the controller of a cell.
    DrainAcks(Vec<DrainAck>),
    /// Digest of all drain marks of the sender. A receiver with a different digest sends its marks.
    DrainDigest(u64),
    /// Requests a [`Part::View`] from the controller of a cell.
    ViewRequest {
        /// Name of the cell.
        cell: CellName,
        /// Number of the request, repeated in the view.
        number: u64,
    },
    /// All drain marks of a cell's controller.
    View {
        /// Name of the cell.
        cell: CellName,
        /// Number of the request, repeated in the view.
        number: u64,
        /// Fencing token of the controller.
        token: FencingToken,
        /// Drain marks of the controller.
        marks: Vec<DrainMark>,
    },
    /// Revision of the configuration in force at the sender. A receiver with an older one pulls it.
    ConfigurationInForce(Revision),
    /// Requests [`Part::ConfigurationInForce`].
    ConfigurationQuery,
    /// The controller of a cell, as known to the sender.
    Controller {
        /// Name of the cell.
        cell: CellName,
        /// Machine id of the controller.
        controller: ponddrift_core::MachineId,
        /// Fencing token of the controller.
        token: FencingToken,
    },
    /// Roles and models of engines.
    EngineFacts(Vec<EngineFacts>),
    /// Demand that arrived at the sender since its last report, for the controller of a cell.
    Demand {
        /// Name of the cell.
        cell: CellName,
        /// Demand per model.
        models: Vec<ModelDemand>,
    },
    /// Epoch of the shard map known to the sender. A receiver with an older one pulls the map.
    ShardMapEpoch(u64),
    /// Hash of all engine facts of the sender. A receiver with a different hash pulls the facts.
    EngineFactsDigest(u64),
}

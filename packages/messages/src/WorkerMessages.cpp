#include "oriolespread/messages/WorkerMessages.h"

namespace oriolespread {

void to_json(nlohmann::json& aJson, const WorkerReport& aReport)
{
  aJson = { { "epoch", aReport.epoch },
            { "sequence", aReport.sequence },
            { "lastOrders", aReport.lastOrders },
            { "worker", aReport.worker },
            { "full", aReport.full },
            { "allLost", aReport.allLost },
            { "running", aReport.running },
            { "starting", aReport.starting },
            { "undescribed", aReport.undescribed },
            { "ended", aReport.ended },
            { "rejected", aReport.rejected },
            { "leasesEndInMs", aReport.leasesEndInMs } };
  if (!aReport.openStarts.empty()) {
    aJson["openStarts"] = aReport.openStarts;
  }
}

void from_json(const nlohmann::json& aJson, WorkerReport& aReport)
{
  aJson.at("epoch").get_to(aReport.epoch);
  aJson.at("sequence").get_to(aReport.sequence);
  aJson.at("lastOrders").get_to(aReport.lastOrders);
  aJson.at("worker").get_to(aReport.worker);
  aJson.at("full").get_to(aReport.full);
  aJson.at("allLost").get_to(aReport.allLost);
  aJson.at("running").get_to(aReport.running);
  aJson.at("starting").get_to(aReport.starting);
  aJson.at("undescribed").get_to(aReport.undescribed);
  aJson.at("ended").get_to(aReport.ended);
  aJson.at("rejected").get_to(aReport.rejected);
  aReport.leasesEndInMs = aJson.value("leasesEndInMs", std::int64_t{ 0 });
  aReport.openStarts = aJson.value("openStarts", std::vector<OpenStart>());
}

void to_json(nlohmann::json& aJson, const LeaseExtension& aExtension)
{
  aJson = { { "epoch", aExtension.epoch },
            { "sequence", aExtension.sequence },
            { "disturbance", aExtension.disturbance } };
  if (aExtension.evacuated) {
    aJson["evacuated"] = true;
  }
}

void from_json(const nlohmann::json& aJson, LeaseExtension& aExtension)
{
  aJson.at("epoch").get_to(aExtension.epoch);
  aJson.at("sequence").get_to(aExtension.sequence);
  aJson.at("disturbance").get_to(aExtension.disturbance);
  aExtension.evacuated = aJson.value("evacuated", false);
}

void to_json(nlohmann::json& aJson, const LeaderClaim& aClaim)
{
  aJson = { { "epoch", aClaim.epoch },
            { "renewed", aClaim.renewed },
            { "repeated", aClaim.repeated } };
}

void from_json(const nlohmann::json& aJson, LeaderClaim& aClaim)
{
  aJson.at("epoch").get_to(aClaim.epoch);
  aClaim.renewed = aJson.value("renewed", true);
  aClaim.repeated = aJson.value("repeated", false);
}

} // namespace oriolespread

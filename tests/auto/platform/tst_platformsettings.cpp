#include "platform/platformsettings.h"

#include <nlohmann/json.hpp>

#include <chrono>

#include <CppUTest/TestHarness.h>

TEST_GROUP(PlatformSettings)
{
  nlohmann::json mEntry{ { "address", "10.1.0.10" },
                         { "availability_zone", "carsi-hall" },
                         { "packet_listen", "10.1.0.10:8172" },
                         { "ready_listen", "10.1.0.10:8167" },
                         { "first_internal_port", 7720 },
                         { "last_internal_port", 7735 },
                         { "metrics_port", 9464 },
                         { "seeds", { "10.1.0.13:8166", "10.2.0.43:8166" } },
                         { "beat_ms", 1200 },
                         { "apply_ms", 3000 },
                         { "grace_s", 6 } };
  nlohmann::json mControl{ { "address", "10.1.0.13" },
                           { "availability_zone", "carsi-hall" },
                           { "control_listen", "10.1.0.13:8166" },
                           { "first_internal_port", 7720 },
                           { "last_internal_port", 7735 },
                           { "metrics_port", 9464 },
                           { "seeds", { "10.1.0.13:8166", "10.2.0.43:8166" } },
                           { "first_start", true },
                           { "beat_ms", 1200 },
                           { "machine_losses", 2 },
                           { "data_directory", "/data/x" } };

  static absl::Status ReadEntry(const nlohmann::json& aJson, Platform::EntrySettings& aSettings)
  {
    Settings::Reader reader(*Settings::ParseDocument(aJson.dump()));
    return Platform::ReadEntrySettings(reader, aSettings);
  }

  static absl::Status ReadControl(const nlohmann::json& aJson, Platform::ControlSettings& aSettings)
  {
    Settings::Reader reader(*Settings::ParseDocument(aJson.dump()));
    return Platform::ReadControlSettings(reader, aSettings);
  }
};

TEST(PlatformSettings, ReadsTheSettingsOfAnEntryInstance)
{
  Platform::EntrySettings settings;
  CHECK_TRUE(ReadEntry(mEntry, settings).ok());
  LONGS_EQUAL(0x0a01000a, settings.mCommon.mAddress);
  LONGS_EQUAL(7722, settings.mLoadReportListen.mPort);
  LONGS_EQUAL(2, settings.mCommon.mSeeds.size());
  CHECK_TRUE(settings.mSteering.mLease > std::chrono::seconds(3));
}

// Guards against an instance that restarts with an empty disk and forms a second cluster.
TEST(PlatformSettings, OnlySeedsFormTheClusterOnFirstStart)
{
  Platform::ControlSettings settings;
  CHECK_TRUE(ReadControl(mControl, settings).ok());
  CHECK_TRUE(settings.mControl.mConsensus.mCanFormCluster);
  LONGS_EQUAL(5, settings.mControl.mConsensus.mMinVoters);
  mControl["first_start"] = false;
  Platform::ControlSettings later;
  CHECK_TRUE(ReadControl(mControl, later).ok());
  CHECK_FALSE(later.mControl.mConsensus.mCanFormCluster);
  mControl["first_start"] = true;
  mControl["address"] = "10.9.0.1";
  Platform::ControlSettings other;
  CHECK_TRUE(ReadControl(mControl, other).ok());
  CHECK_FALSE(other.mControl.mConsensus.mCanFormCluster);
}

// Guards against a control instance that does not start, or that accepts no or any name, with the
// forms of the list that the platform may write.
TEST(PlatformSettings, AvailabilityZonesAreTheKeysOfAnObject)
{
  Platform::ControlSettings absent;
  CHECK_TRUE(ReadControl(mControl, absent).ok());
  CHECK_FALSE(absent.mControl.mAvailabilityZones.has_value());
  mControl["availability_zones"] = nullptr;
  Platform::ControlSettings null;
  CHECK_TRUE(ReadControl(mControl, null).ok());
  CHECK_FALSE(null.mControl.mAvailabilityZones.has_value());
  mControl["availability_zones"] = { { "liman-depot", "liman" }, { "carsi-hall", "liman" } };
  Platform::ControlSettings named;
  CHECK_TRUE(ReadControl(mControl, named).ok());
  CHECK_TRUE(*named.mControl.mAvailabilityZones ==
             std::set<std::string>({ "carsi-hall", "liman-depot" }));
  for (const nlohmann::json& invalid : { nlohmann::json("carsi-hall"),
                                         nlohmann::json::array({ "carsi-hall" }),
                                         nlohmann::json(3) }) {
    mControl["availability_zones"] = invalid;
    Platform::ControlSettings settings;
    const absl::Status status = ReadControl(mControl, settings);
    STRCMP_CONTAINS("\"availability_zones\" must be an object or null",
                    std::string(status.message()).c_str());
  }
}

// Guards against an entry instance that does not start, or that ejects upstreams unasked, with the
// forms that the template has if the platform has no list, renders it as nothing or as null, or has
// one.
TEST(PlatformSettings, HealthContractSwitchesOutlierEjectionOn)
{
  const struct
  {
    const char* mContracts;
    bool mOn;
  } rows[] = { { "null", false },           { "[]", false },
               { "[null]", false },         { "[[]]", false },
               { R"([["other"]])", false }, { R"([["other","health"]])", true },
               { R"(["health"])", true } };
  Platform::EntrySettings absent;
  CHECK_TRUE(ReadEntry(mEntry, absent).ok());
  CHECK_FALSE(absent.mOutlierEjection);
  for (const auto& row : rows) {
    mEntry["contracts"] = nlohmann::json::parse(row.mContracts);
    Platform::EntrySettings settings;
    CHECK_TRUE_TEXT(ReadEntry(mEntry, settings).ok(), row.mContracts);
    CHECK_TRUE_TEXT(row.mOn == settings.mOutlierEjection, row.mContracts);
  }
  mEntry["outlier_ejection"] = false;
  Platform::EntrySettings off;
  CHECK_TRUE(ReadEntry(mEntry, off).ok());
  CHECK_FALSE(off.mOutlierEjection);
  mEntry["contracts"] = "health";
  CHECK_FALSE(ReadEntry(mEntry, off).ok());
  mEntry["contracts"] = { 3 };
  CHECK_FALSE(ReadEntry(mEntry, off).ok());
}

// Guards against invalid settings that are detected only when they are used.
TEST(PlatformSettings, RejectsInvalidSettingsWithTheirKey)
{
  const struct
  {
    const char* mKey;
    nlohmann::json mValue;
  } rows[] = { { "address", "here" },      { "packet_listen", "10.1.0.10" },
               { "seeds", "10.1.0.13:1" }, { "last_internal_port", 7721 },
               { "beat_ms", 0 },           { "unknown", 1 },
               { "apply_ms", "soon" } };
  for (const auto& row : rows) {
    nlohmann::json json = mEntry;
    json[row.mKey] = row.mValue;
    Platform::EntrySettings settings;
    const absl::Status status = ReadEntry(json, settings);
    CHECK_FALSE_TEXT(status.ok(), row.mKey);
    STRCMP_CONTAINS(row.mKey, std::string(status.message()).c_str());
  }
}

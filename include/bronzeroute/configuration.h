#pragma once

#include "src/configuration/configuration_fold.h"
#include "src/configuration/configuration_peer_port.h"
#include "src/configuration/configuration_record.h"
#include "src/configuration/configuration_settings.h"
#include "src/configuration/configuration_snapshot.h"
#include "src/configuration/configuration_system.h"
#include "src/configuration/document.h"
#include "src/configuration/find_route.h"
#include "src/configuration/guarantees_text.h"
#include "src/configuration/parse_document.h"
